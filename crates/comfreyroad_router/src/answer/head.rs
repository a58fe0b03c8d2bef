use std::time::{Duration, Instant};

use super::Statement;
use crate::id::RequestId;
use crate::upstream::Load;

/// The decoded head of an upstream's answer, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// The request id that the answer carries.
    pub request_id: Option<RequestId>,
    /// Whether the answer carries an upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream states that it has not run the request.
    pub is_rejection: bool,
    /// The upstream's load, if reported.
    pub load: Option<Load>,
    /// End of the upstream's warm-up, if reported.
    pub cold_until: Option<Instant>,
    /// Requests per second that the upstream takes from all entries together.
    pub rate_limit: Statement<f64>,
    /// That the upstream is about to leave.
    pub leaving: Statement<()>,
    /// Time for which the upstream wants no more requests from this entry.
    pub retry_after: Statement<Duration>,
    /// The model's confidence in its answer, in percent.
    pub confidence: Option<u8>,
}
