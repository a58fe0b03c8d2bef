use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Content;
use crate::id::Offset;

/// A record and its position in a topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Offset in the topic.
    pub offset: Offset,
    /// The key.
    pub key: Arc<str>,
    /// The decoded value.
    pub content: Content,
}
