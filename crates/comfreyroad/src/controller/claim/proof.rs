use std::time::Instant;

/// Proof that a claim is the first on the log. Only the claims controller creates it, from the order of records on the log.
#[derive(Debug)]
pub struct Proof {
    valid_until: Instant,
}

impl Proof {
    pub(super) fn new(valid_until: Instant) -> Self {
        Self { valid_until }
    }

    /// Whether the claim is too old to run the request.
    ///
    /// Other entries forget the claim after the horizon, so the holder must not start the request close to that time.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.valid_until
    }
}
