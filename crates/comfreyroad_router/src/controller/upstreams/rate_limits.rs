//! Rate limits that upstreams state in their answers.

use std::time::Instant;

use super::Upstreams;
use crate::answer;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::upstream::{RateLimit, Slot, Upstream};

impl Upstreams {
    /// Takes what an answer says about the rate limit of its upstream. An upstream that states no limit in the answer to a request
    /// that was sent after it had stated one has no limit any more.
    pub(crate) fn on_rate_limit(
        &mut self,
        now: Instant,
        (slot, sent_at): (&Slot, Instant),
        limit: answer::RateLimit,
        out: &mut Outbox,
    ) {
        let Some(upstream) = self.upstream_of(slot) else {
            return;
        };
        let rate = match limit {
            answer::RateLimit::Limited(rate) => Some(rate),
            answer::RateLimit::Unlimited => {
                let stated = upstream.rate_limit.filter(|known| known.rate.is_some());
                if stated.is_none_or(|known| known.stated_at > sent_at) {
                    return;
                }
                None
            }
            answer::RateLimit::Unreadable => {
                let note = Note::new(&note::RATE_LIMIT_UNREADABLE);
                out.note(note.with("upstream", &upstream.id));
                return;
            }
        };
        let statement = RateLimit {
            rate,
            stated_at: now,
            is_relayed: false,
        };
        set_rate_limit(upstream, statement, out);
    }
}

/// Replaces the statement of an upstream, and logs the start and the end of a limit.
fn set_rate_limit(upstream: &mut Upstream, statement: RateLimit, out: &mut Outbox) {
    let was_limited = upstream.stated_rate().is_some();
    upstream.rate_limit = Some(statement);
    match statement.rate {
        Some(rate) if !was_limited => {
            let note = Note::new(&note::UPSTREAM_LIMITED).with("upstream", &upstream.id);
            out.note(
                note.with("rate", rate)
                    .with("relayed", statement.is_relayed),
            );
        }
        None if was_limited => {
            out.note(Note::new(&note::UPSTREAM_UNLIMITED).with("upstream", &upstream.id));
        }
        _ => {}
    }
}
