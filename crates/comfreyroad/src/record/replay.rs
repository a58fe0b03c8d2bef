use std::sync::Arc;

/// An answer stored on the log, returned again for a later attempt of the same request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replay {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// The complete body.
    pub body: Arc<[u8]>,
}
