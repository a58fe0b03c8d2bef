use std::sync::Arc;

use crate::record::Outcome;

/// Maximum length of a captured body, in bytes.
const MAX_BYTES: usize = 4096;

/// Captures the answer to a claimed request, so that the log can replay it to later attempts.
#[derive(Debug, Default)]
pub(super) struct Capture {
    content_type: Option<Arc<str>>,
    bytes: Vec<u8>,
    is_too_long: bool,
}

impl Capture {
    /// Sets the content type when the answer begins.
    pub(super) fn begin(&mut self, content_type: Option<Arc<str>>) {
        self.content_type = content_type;
    }

    /// Appends a part of the body. Drops the whole body once it is too long.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.is_too_long |= self.bytes.len() + bytes.len() > MAX_BYTES;
        if self.is_too_long {
            self.bytes = Vec::new();
        } else {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The outcome to record for the complete answer.
    pub(super) fn outcome(self, status: u16) -> Outcome {
        Outcome::Answered {
            status,
            content_type: self.content_type,
            body: (!self.is_too_long).then(|| self.bytes.into()),
        }
    }
}
