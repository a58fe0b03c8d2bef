use std::time::{Duration, SystemTime, UNIX_EPOCH};

use data_encoding::BASE64URL_NOPAD;

use crate::id::{CustomerId, RouteId, VersionId};

/// Length of the message authentication code in a token.
const MAC_BYTES: usize = 16;

/// The binding of a session, authenticated so that every entry can accept it.
///
/// The text consists of `customer/route/version/until` and a keyed hash of it, both in base64.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Whose session it is.
    pub customer: CustomerId,
    /// The route that was requested.
    pub route: RouteId,
    /// The version that the session keeps.
    pub version: VersionId,
    /// When the token expires, in whole seconds.
    pub until: SystemTime,
}

impl Token {
    /// Formats the token and signs it with a key.
    pub fn sign(&self, key: &[u8; 32]) -> String {
        let until = self.until.duration_since(UNIX_EPOCH).unwrap_or_default();
        let body = format!(
            "{}/{}/{}/{}",
            self.customer,
            self.route,
            self.version,
            until.as_secs()
        );
        let mac = blake3::keyed_hash(key, body.as_bytes());
        let (body, mac) = (
            BASE64URL_NOPAD.encode(body.as_bytes()),
            BASE64URL_NOPAD.encode(&mac.as_bytes()[..MAC_BYTES]),
        );
        format!("{body}.{mac}")
    }

    /// Parses a token signed with any of the keys. Does not check whether it has expired.
    pub fn verify(text: &str, keys: &[[u8; 32]]) -> Option<Self> {
        let (body, mac) = text.split_once('.')?;
        let body = BASE64URL_NOPAD.decode(body.as_bytes()).ok()?;
        let mac = BASE64URL_NOPAD.decode(mac.as_bytes()).ok()?;
        keys.iter().find(|key| Self::is_signed(&body, &mac, key))?;
        let body = String::from_utf8(body).ok()?;
        let mut parts = body.splitn(4, '/');
        let (customer, route, version) = (parts.next()?, parts.next()?, parts.next()?);
        let until = Duration::from_secs(parts.next()?.parse().ok()?);
        Some(Self {
            customer: customer.into(),
            route: route.into(),
            version: version.into(),
            until: UNIX_EPOCH.checked_add(until)?,
        })
    }

    /// Compares hashes of the two codes, so that the comparison takes constant time.
    fn is_signed(body: &[u8], mac: &[u8], key: &[u8; 32]) -> bool {
        let expected = blake3::keyed_hash(key, body);
        blake3::hash(&expected.as_bytes()[..MAC_BYTES]) == blake3::hash(mac)
    }
}
