//! Decoding of ids in frames, which hold hundreds of them.

use std::fmt;
use std::sync::Arc;

use serde::Deserializer;
use serde::de::{Error, Visitor};

/// Decodes an id with one allocation, where the implementation for `Arc<str>` makes two.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(decoder: D) -> Result<Arc<str>, D::Error> {
    decoder.deserialize_str(Text)
}

struct Text;

impl Visitor<'_> for Text {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Arc<str>, E> {
        Ok(text.into())
    }
}
