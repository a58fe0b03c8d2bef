use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Tracks whether this entry is still connected to its peers.
///
/// Frames are numbered, and a frame that answers one carries its number. A frame that waited in a buffer while this
/// entry was paused is therefore not mistaken for a recent one.
#[derive(Debug, Default)]
pub(super) struct Connectivity {
    sent: VecDeque<(u64, Instant)>,
    last_acknowledged: Option<Instant>,
    last_event: Option<Instant>,
    is_unconfirmed: bool,
}

/// Maximum number of sent frames whose sending time is kept.
const MAX_SENT_FRAMES: usize = 64;

impl Connectivity {
    /// Records that the frame with this number is sent now.
    pub(super) fn record_sent(&mut self, now: Instant, number: u64) {
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_SENT_FRAMES {
            self.sent.pop_front();
        }
    }

    /// Records that a peer has received the frame with this number.
    pub(super) fn acknowledge(&mut self, answered: u64) {
        let Some((_, sent_at)) = self.sent.iter().find(|(number, _)| *number == answered) else {
            return;
        };
        self.last_acknowledged = self.last_acknowledged.max(Some(*sent_at));
        self.is_unconfirmed = false;
    }

    /// Advances the clock. Returns true for a jump of more than `limit`: this entry was paused, and its knowledge of peers
    /// may be outdated.
    pub(super) fn advance(&mut self, now: Instant, limit: Duration) -> bool {
        let before = self.last_event.replace(now).unwrap_or(now);
        let is_jump = now.saturating_duration_since(before) > limit;
        if is_jump {
            self.sent.clear();
            self.last_acknowledged = None;
            self.is_unconfirmed = true;
        }
        is_jump
    }

    /// Whether no peer has acknowledged a frame since the last pause.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.is_unconfirmed
    }

    /// Sending time of the newest frame that a peer has acknowledged.
    pub(super) fn last_acknowledged(&self) -> Option<Instant> {
        self.last_acknowledged
    }
}
