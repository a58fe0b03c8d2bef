use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Content;
use crate::id::Offset;

/// A record with its place in its topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its place.
    pub offset: Offset,
    /// Its key.
    pub key: Arc<str>,
    /// What it says.
    pub content: Content,
}
