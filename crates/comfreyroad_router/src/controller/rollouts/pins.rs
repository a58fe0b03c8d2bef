use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Maximum number of sessions in one frame.
const MAX_SESSIONS_PER_FRAME: usize = 256;

/// Sessions that stay on their version during the canary phase, until they expire.
#[derive(Debug, Default)]
pub(super) struct Pins {
    sessions: IndexMap<Arc<str>, Pin>,
}

/// A session and the version that serves it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pin {
    /// Whether the new version serves it.
    pub(super) is_on_target: bool,
    pub(super) expires_at: Instant,
}

impl Pins {
    /// Pins a session or extends its expiry. While a session is pinned, the version that was reported first holds.
    pub(super) fn add(&mut self, now: Instant, name: &Arc<str>, pin: Pin) {
        let known = self.sessions.entry(name.clone()).or_insert(pin);
        if known.expires_at <= now {
            *known = pin;
        }
        known.expires_at = known.expires_at.max(pin.expires_at);
    }

    /// Whether the new version serves a session; `None` if the session is not pinned.
    pub(super) fn is_on_target(&self, now: Instant, name: &str) -> Option<bool> {
        let known = self.sessions.get(name).filter(|it| it.expires_at > now)?;
        Some(known.is_on_target)
    }

    /// The sessions that have not expired, with their remaining time, up to the limit of one frame.
    pub(super) fn iter(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, Pin, Duration)> {
        let pins = self.sessions.iter().map(move |(name, pin)| {
            let remaining = pin.expires_at.saturating_duration_since(now);
            (name, *pin, remaining)
        });
        pins.filter(|(_, _, remaining)| !remaining.is_zero())
            .take(MAX_SESSIONS_PER_FRAME)
    }
}
