use std::time::Instant;

use crate::frame::Beat;

/// A peer that counts as live.
#[derive(Debug)]
pub(super) struct Heard {
    /// Its newest heartbeat.
    pub(super) beat: Beat,
    /// While it is suspected: when it counts as lost unless a newer heartbeat is heard.
    pub(super) lost_at: Option<Instant>,
    /// Whether the VM list has ever named it.
    pub(super) was_listed: bool,
}

impl Heard {
    pub(super) fn new(beat: Beat) -> Self {
        Self {
            beat,
            lost_at: None,
            was_listed: false,
        }
    }
}
