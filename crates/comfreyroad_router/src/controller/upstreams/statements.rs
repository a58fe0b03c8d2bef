//! What upstreams state about themselves in their answers.
//!
//! A statement holds for one incarnation of an upstream. An answer without it ends it, if the request was sent after the statement
//! had arrived: answers on several connections may overtake each other.

use std::time::Instant;

use super::Upstreams;
use crate::answer::{Head, Statement};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::upstream::Slot;

impl Upstreams {
    /// Takes the statements in the head of an answer of the upstream itself.
    pub(crate) fn on_statements(
        &mut self,
        now: Instant,
        (slot, sent_at): (&Slot, Instant),
        head: &Head,
        out: &mut Outbox,
    ) {
        let unreadable = [
            ("rate limit", head.rate_limit == Statement::Unreadable),
            ("leaving", head.leaving == Statement::Unreadable),
            ("retry after", head.retry_after == Statement::Unreadable),
        ];
        for (about, _) in unreadable
            .iter()
            .filter(|(_, is_unreadable)| *is_unreadable)
        {
            let note = Note::new(&note::STATEMENT_UNREADABLE).with("upstream", &slot.upstream);
            out.note(note.with("about", about));
        }
        self.on_rate_limit(now, (slot, sent_at), head.rate_limit, out);
        self.on_leaving(now, (slot, sent_at), head.leaving, out);
        self.on_retry_after(now, slot, head, out);
    }
}
