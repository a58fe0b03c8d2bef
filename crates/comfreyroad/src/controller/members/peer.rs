use std::time::Instant;

use crate::frame::Heartbeat;

/// A peer that is considered live.
#[derive(Debug)]
pub(super) struct Peer {
    /// The peer's newest heartbeat.
    pub(super) beat: Heartbeat,
    /// While the peer is a suspect: when it is removed unless a newer heartbeat arrives.
    pub(super) suspect_until: Option<Instant>,
    /// Whether the VM list has ever contained the peer.
    pub(super) was_listed: bool,
}

impl Peer {
    pub(super) fn new(beat: Heartbeat) -> Self {
        Self {
            beat,
            suspect_until: None,
            was_listed: false,
        }
    }
}
