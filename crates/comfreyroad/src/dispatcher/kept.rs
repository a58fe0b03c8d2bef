use std::sync::Arc;

use crate::record::Outcome;

/// Longest body that is kept for later attempts, in bytes.
const MAX_BYTES: usize = 4096;

/// What is kept of an answer that must not be fetched twice.
#[derive(Debug, Default)]
pub(super) struct Kept {
    content_type: Option<Arc<str>>,
    bytes: Vec<u8>,
    is_too_long: bool,
}

impl Kept {
    /// The answer begins.
    pub(super) fn begin(&mut self, content_type: Option<Arc<str>>) {
        self.content_type = content_type;
    }

    /// More of its body.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.is_too_long |= self.bytes.len() + bytes.len() > MAX_BYTES;
        if self.is_too_long {
            self.bytes = Vec::new();
        } else {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The answer is whole.
    pub(super) fn outcome(self, status: u16) -> Outcome {
        Outcome::Answered {
            status,
            content_type: self.content_type,
            body: (!self.is_too_long).then(|| self.bytes.into()),
        }
    }
}
