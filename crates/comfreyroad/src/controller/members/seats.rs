use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Heard, Listed, Members};
use crate::clock::Now;
use crate::event::Event;
use crate::frame::View;
use crate::id::{EntryId, ZoneId};
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::upstream::VmState;

/// Time for which an entry that is silent, but listed as live, keeps its seat. Regions lose each other for minutes.
const HOLD: Duration = Duration::from_secs(900);

impl Members {
    /// Tells the other controllers of the view where it has changed.
    pub(super) fn publish(&mut self, now: Now, out: &mut Outbox) {
        self.has_news = false;
        let seats = self.seats(now.instant);
        let is_void = self.is_void(now.instant, &seats);
        let view = &self.view;
        if view.seats == seats && view.is_void == is_void && self.is_same(view) {
            return;
        }
        let own = std::iter::once(&self.own);
        let beats = own.chain(self.heard.values().map(|heard| &heard.beat));
        let mut members: IndexMap<EntryId, _> = beats
            .map(|beat| (beat.entry.clone(), beat.clone()))
            .collect();
        members.sort_unstable_keys();
        self.view = Rc::new(View {
            members,
            seats,
            is_void,
        });
        out.raise(Event::Members(Rc::clone(&self.view)));
    }

    /// Whether a view has the same members at the same starts, whatever their counts.
    fn is_same(&self, view: &View) -> bool {
        let own = std::iter::once(&self.own);
        let mut beats = own.chain(self.heard.values().map(|heard| &heard.beat));
        view.members.len() == self.heard.len() + 1
            && beats.all(|beat| {
                view.members
                    .get(&beat.entry)
                    .is_some_and(|known| known.boot == beat.boot && known.serving == beat.serving)
            })
    }

    fn seats(&self, now: Instant) -> IndexMap<EntryId, ZoneId> {
        let mut seats: IndexMap<EntryId, ZoneId> = IndexMap::new();
        if self.may_sit() {
            seats.insert(self.own.entry.clone(), self.own.zone.clone());
        }
        for (entry, heard) in &self.heard {
            if self.is_seated(heard) {
                seats.insert(entry.clone(), heard.beat.zone.clone());
            }
        }
        for (entry, listed) in &self.listed {
            if *entry != self.own.entry && self.is_held(entry, listed, now) {
                seats.insert(entry.clone(), listed.zone.clone());
            }
        }
        seats.sort_unstable_keys();
        seats
    }

    fn may_sit(&self) -> bool {
        let listed = self.listed.get(&self.own.entry);
        let is_out = match listed {
            Some(listed) => listed.state == VmState::Leaving,
            None => self.was_listed,
        };
        self.own.serving && !is_out
    }

    /// Whether a live peer takes part: it takes work, and the list does not say that it leaves.
    fn is_seated(&self, heard: &Heard) -> bool {
        let is_listed = match self.listed.get(&heard.beat.entry) {
            Some(listed) => listed.state == VmState::Live,
            None => !heard.was_listed,
        };
        heard.beat.serving && is_listed
    }

    /// Whether an entry keeps its seat though nothing is heard of it.
    fn is_held(&self, entry: &EntryId, listed: &Listed, now: Instant) -> bool {
        self.has(Mechanism::SeatHold)
            && !self.heard.contains_key(entry)
            && !listed.has_left
            && listed.state == VmState::Live
            && listed.heard + HOLD > now
    }

    /// Whether this entry is out of touch: paused a moment ago, or without peers and without the list.
    fn is_void(&self, now: Instant, seats: &IndexMap<EntryId, ZoneId>) -> bool {
        let is_alone = seats.keys().all(|entry| *entry == self.own.entry);
        let fresh = |at: Option<Instant>| at.is_some_and(|at| at + self.timeout > now);
        let knows_none = self.list_at.is_none() && self.heard.is_empty() && !self.seeds.is_empty();
        if !self.has(Mechanism::PauseVoid) {
            return false;
        }
        if self.contact.is_lost() && !is_alone {
            return true;
        }
        if is_alone {
            return knows_none;
        }
        !fresh(self.contact.heard()) && !fresh(self.list_at)
    }
}
