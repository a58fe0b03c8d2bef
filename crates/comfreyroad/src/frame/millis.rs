//! Serialises wall-clock times as milliseconds, to keep frames short.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub(super) fn serialize<S: Serializer>(time: &SystemTime, to: S) -> Result<S::Ok, S::Error> {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    (since.as_millis() as u64).serialize(to)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<SystemTime, D::Error> {
    let millis = u64::deserialize(from)?;
    Ok(UNIX_EPOCH + Duration::from_millis(millis))
}
