use std::sync::Arc;

/// An answer kept on the log, given again to a later attempt of the same request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replay {
    /// HTTP status.
    pub status: u16,
    /// Type of the body.
    pub content_type: Option<Arc<str>>,
    /// The whole body.
    pub body: Arc<[u8]>,
}
