use std::time::Instant;

use crate::id::RequestId;
use crate::upstream::Load;

/// The head of an upstream's answer, as far as decisions go by it.
#[derive(Clone, Debug)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// The request that it names.
    pub request_id: Option<RequestId>,
    /// Whether it bears an upstream's signature.
    pub is_signed: bool,
    /// Whether it says that the request was not run.
    pub is_rejection: bool,
    /// The upstream's load, if it is told.
    pub load: Option<Load>,
    /// Until when the upstream is cold, if it is told.
    pub cold_until: Option<Instant>,
    /// How sure the model is of its answer, of a hundred.
    pub confidence: Option<u8>,
}
