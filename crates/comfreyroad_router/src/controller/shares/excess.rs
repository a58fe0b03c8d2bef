use std::time::Instant;

/// That a customer uses more than its share of a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Excess {
    pub(super) since: Instant,
    /// When its usage falls to its share if it sends nothing more.
    pub(super) room_at: Instant,
    /// What it uses, in slots.
    pub(super) usage: f64,
    /// Its share, in slots.
    pub(super) share: f64,
}
