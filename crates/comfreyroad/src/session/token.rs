use data_encoding::BASE64URL_NOPAD;

use crate::id::{CustomerId, RouteId, VersionId};

/// What a session was bound to at its start, in a form that any entry can trust.
///
/// The text is `customer/route/version` and a keyed hash of it, both in base64.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Whose session it is.
    pub customer: CustomerId,
    /// What was asked for.
    pub route: RouteId,
    /// The version that the session keeps.
    pub version: VersionId,
}

impl Token {
    /// The token as text, sealed with a key.
    pub fn seal(&self, key: &[u8; 32]) -> String {
        let body = format!("{}/{}/{}", self.customer, self.route, self.version);
        let mac = blake3::keyed_hash(key, body.as_bytes());
        let (body, mac) = (
            BASE64URL_NOPAD.encode(body.as_bytes()),
            BASE64URL_NOPAD.encode(&mac.as_bytes()[..16]),
        );
        format!("{body}.{mac}")
    }

    /// Reads a token sealed with any of the keys.
    pub fn open(text: &str, keys: &[[u8; 32]]) -> Option<Self> {
        let (body, mac) = text.split_once('.')?;
        let body = BASE64URL_NOPAD.decode(body.as_bytes()).ok()?;
        let mac = BASE64URL_NOPAD.decode(mac.as_bytes()).ok()?;
        keys.iter().find(|key| Self::is_sealed(&body, &mac, key))?;
        let body = String::from_utf8(body).ok()?;
        let mut parts = body.splitn(3, '/');
        let (customer, route, version) = (parts.next()?, parts.next()?, parts.next()?);
        Some(Self {
            customer: customer.into(),
            route: route.into(),
            version: version.into(),
        })
    }

    /// Compares in constant time, by comparing hashes of the two.
    fn is_sealed(body: &[u8], mac: &[u8], key: &[u8; 32]) -> bool {
        let expected = blake3::keyed_hash(key, body);
        blake3::hash(&expected.as_bytes()[..16]) == blake3::hash(mac)
    }
}
