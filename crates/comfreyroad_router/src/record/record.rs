use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Content;
use crate::id::Position;

/// A record and its position in a topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the topic.
    pub offset: Position,
    /// The key.
    pub key: Arc<str>,
    /// The decoded value.
    pub content: Content,
}
