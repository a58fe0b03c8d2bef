use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Whether this entry is in touch with its peers.
///
/// Frames are numbered, and an answer carries the number of the frame that it came after, so that a frame which
/// waited in a buffer while this entry was paused is not taken for a fresh one.
#[derive(Debug, Default)]
pub(super) struct Contact {
    sent: VecDeque<(u64, Instant)>,
    heard: Option<Instant>,
    seen: Option<Instant>,
    is_lost: bool,
}

/// Frames whose time of sending is remembered.
const SENT: usize = 64;

impl Contact {
    /// A frame of this number is sent now.
    pub(super) fn send(&mut self, now: Instant, number: u64) {
        self.sent.push_back((number, now));
        if self.sent.len() > SENT {
            self.sent.pop_front();
        }
    }

    /// A frame shows that its sender has had the frame of this number.
    pub(super) fn hear(&mut self, answered: u64) {
        let Some((_, at)) = self.sent.iter().find(|(number, _)| *number == answered) else {
            return;
        };
        self.heard = self.heard.max(Some(*at));
        self.is_lost = false;
    }

    /// Time goes on; a jump means that this entry was paused, and all that it knew may be void.
    pub(super) fn advance(&mut self, now: Instant, limit: Duration) -> bool {
        let before = self.seen.replace(now).unwrap_or(now);
        let is_jump = now.saturating_duration_since(before) > limit;
        if is_jump {
            self.sent.clear();
            self.heard = None;
            self.is_lost = true;
        }
        is_jump
    }

    /// Whether nothing fresh was heard since a pause.
    pub(super) fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// The last moment at which a peer is known to have heard this entry.
    pub(super) fn heard(&self) -> Option<Instant> {
        self.heard
    }
}
