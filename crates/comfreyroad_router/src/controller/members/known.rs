use std::time::Instant;

use super::Members;
use crate::frame::Peer;

/// An entry that was heard, or that has registered.
#[derive(Debug)]
pub(super) struct Known {
    pub(super) peer: Peer,
    // When its heartbeat last rose.
    heard: Option<Instant>,
    learned: Instant,
    is_live: bool,
}

impl Known {
    pub(super) fn new(now: Instant, peer: Peer) -> Self {
        Self {
            peer,
            heard: None,
            learned: now,
            is_live: false,
        }
    }

    /// Takes a heartbeat. Returns whether the entry is live by it and was not before.
    pub(super) fn hear(&mut self, now: Instant, peer: &Peer) -> bool {
        if self.heard.is_some() && !peer.is_newer_than(&self.peer) {
            return false;
        }
        self.peer = peer.clone();
        self.heard = Some(now);
        !std::mem::replace(&mut self.is_live, true)
    }

    /// Returns whether it is lost from now on.
    pub(super) fn lose(&mut self, now: Instant) -> bool {
        let was_live = self.is_live;
        self.is_live = self.is_live(now);
        was_live && !self.is_live
    }

    pub(super) fn is_live(&self, now: Instant) -> bool {
        self.heard.is_some_and(|at| at + Members::TIMEOUT > now)
    }

    /// Whether it may be serving, heard or not.
    pub(super) fn is_possible(&self, now: Instant) -> bool {
        let since = self.heard.unwrap_or(self.learned);
        since + Members::POSSIBLE > now
    }
}
