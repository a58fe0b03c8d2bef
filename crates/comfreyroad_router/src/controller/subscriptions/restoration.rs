//! The store is restored from a copy: it has lost its newest records, and gives out their offsets again.

use std::time::Instant;

use super::{Subscriptions, intervals};
use crate::id::Position;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::position;
use crate::{Action, Event};

impl Subscriptions {
    /// Finds out whether the keys that the store has lost in a restoration were written again, by the store or by what relays know.
    pub(super) fn confirm_unrestored(&mut self, now: Instant, out: &mut Outbox) {
        let polls_store = self.polls_store(now);
        for subscription in self.subscriptions.values_mut() {
            if let Some(answer_at) = self.relayed_answer_at {
                subscription.remove_unrestored(now, answer_at, out);
            }
            if polls_store && self.outage.is_none() {
                subscription.confirm_unrestored(now, out);
            }
        }
    }

    /// Takes the era of a position. In a new one the store has lost records: positions from before say nothing of it.
    pub(super) fn on_position(&mut self, now: Instant, next: Position, out: &mut Outbox) {
        let era = position::era(next);
        let known = self.era;
        self.era = known.max(Some(era));
        if known.is_none_or(|known| known >= era) {
            return;
        }
        out.note(Note::new(&note::STORE_RESTORED).with("era", era));
        out.raise(Event::StoreRestored);
        // The own record may be lost too.
        self.register_at = Some(now + intervals::registration_delay(&self.own.entry));
        // Without the store, frames of peers move the positions on.
        if self.polls_store(now) && self.outage.is_none() {
            for subscription in self.subscriptions.values_mut() {
                subscription.on_restored(era);
            }
            out.act(Action::Reconnect);
        }
    }
}
