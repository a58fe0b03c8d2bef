use std::time::Instant;

use super::Members;
use crate::frame::Peer;

/// Another entry that was heard from or has registered.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) peer: Peer,
    // When its heartbeat last increased.
    heartbeat_at: Option<Instant>,
    discovered_at: Instant,
    was_live: bool,
}

impl Member {
    pub(super) fn new(now: Instant, peer: Peer) -> Self {
        Self {
            peer,
            heartbeat_at: None,
            discovered_at: now,
            was_live: false,
        }
    }

    /// Takes a heartbeat. Returns whether it makes the entry live.
    pub(super) fn on_heartbeat(&mut self, now: Instant, peer: &Peer) -> bool {
        if self.heartbeat_at.is_some() && !peer.is_newer_than(&self.peer) {
            return false;
        }
        self.peer = peer.clone();
        self.heartbeat_at = Some(now);
        !std::mem::replace(&mut self.was_live, true)
    }

    /// Checks the heartbeat timeout. Returns whether the entry was live until now and is lost.
    pub(super) fn check_timeout(&mut self, now: Instant) -> bool {
        let was_live = self.was_live;
        self.was_live = self.is_live(now);
        was_live && !self.was_live
    }

    pub(super) fn is_live(&self, now: Instant) -> bool {
        self.heartbeat_at
            .is_some_and(|at| at + Members::HEARTBEAT_TIMEOUT > now)
    }

    /// Whether it may be serving requests, live or not.
    pub(super) fn may_be_serving(&self, now: Instant) -> bool {
        let since = self.heartbeat_at.unwrap_or(self.discovered_at);
        since + Members::SERVING_TIMEOUT > now
    }
}
