use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::id::{KeyHash, RequestId};
use http::HeaderMap;

/// Default deadline of a call, counted from its receipt.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Maximum deadline of a call; longer ones are reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Maximum length of a request id in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// A header with an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {name}: expected {expected}")]
pub(super) struct Error {
    name: &'static str,
    expected: &'static str,
}

/// Parsed headers of a call.
#[derive(Debug)]
pub(super) struct Headers {
    pub(super) key: KeyHash,
    pub(super) id: RequestId,
    pub(super) session: Option<Arc<str>>,
    pub(super) deadline: Instant,
    pub(super) attempt: u32,
    pub(super) may_repeat: Option<bool>,
}

impl Headers {
    pub(super) fn read(headers: &HeaderMap, received: Instant) -> Result<Self, Error> {
        Ok(Self {
            key: key(headers)?,
            id: id(headers)?,
            session: text(headers, "x-session")?.map(Into::into),
            deadline: received + deadline(headers)?,
            attempt: number(headers, "x-attempt", "a number from 1")?.unwrap_or(1),
            may_repeat: may_repeat(headers)?,
        })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Error> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Error {
        name,
        expected: "visible ASCII",
    })?;
    Ok(Some(text.trim()))
}

fn number(
    headers: &HeaderMap,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<u32>, Error> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    let number = text.parse().ok().filter(|number| *number > 0);
    number.map(Some).ok_or(Error { name, expected })
}

/// Hashes the customer's key. The key itself is not stored.
fn key(headers: &HeaderMap) -> Result<KeyHash, Error> {
    let value = text(headers, "authorization")?.unwrap_or_default();
    let key = value.strip_prefix("Bearer ").unwrap_or_default();
    Ok(*blake3::hash(key.as_bytes()).as_bytes())
}

fn id(headers: &HeaderMap) -> Result<RequestId, Error> {
    let Some(id) = text(headers, "x-request-id")? else {
        return Ok(format!("r-{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..)).into());
    };
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
        return Err(Error {
            name: "x-request-id",
            expected: "1 to 128 characters",
        });
    }
    Ok(id.into())
}

fn deadline(headers: &HeaderMap) -> Result<Duration, Error> {
    let ms = number(headers, "x-deadline-ms", "milliseconds from 1")?;
    Ok(ms.map_or(DEFAULT_DEADLINE, |ms| {
        Duration::from_millis(ms.into()).min(MAX_DEADLINE)
    }))
}

fn may_repeat(headers: &HeaderMap) -> Result<Option<bool>, Error> {
    match text(headers, "x-may-repeat")? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(Error {
            name: "x-may-repeat",
            expected: "yes or no",
        }),
    }
}
