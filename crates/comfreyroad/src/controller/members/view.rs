use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Listing, Members, Peer};
use crate::clock::Now;
use crate::event::Event;
use crate::frame::View;
use crate::id::{EntryId, ZoneId};
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::upstream::VmState;

/// Time for which a silent entry that is listed as live stays a slot holder. Regions can lose contact for minutes.
const SILENT_HOLDER_TIMEOUT: Duration = Duration::from_secs(900);

impl Members {
    /// Publishes the view to the other controllers if it has changed.
    pub(super) fn publish_view(&mut self, now: Now, out: &mut Outbox) {
        self.has_changes = false;
        let slot_holders = self.slot_holders(now.instant);
        let is_isolated = self.is_isolated(now.instant, &slot_holders);
        let view = &self.view;
        if view.slot_holders == slot_holders
            && view.is_isolated == is_isolated
            && self.has_same_members(view)
        {
            return;
        }
        let own = std::iter::once(&self.own_beat);
        let beats = own.chain(self.peers.values().map(|peer| &peer.beat));
        let mut members: IndexMap<EntryId, _> = beats
            .map(|beat| (beat.entry.clone(), beat.clone()))
            .collect();
        members.sort_unstable_keys();
        self.view = Rc::new(View {
            members,
            slot_holders,
            is_isolated,
        });
        out.raise(Event::Members(Rc::clone(&self.view)));
    }

    /// Whether a view has the same members, with the same boots and serving states. Heartbeat counts are ignored.
    fn has_same_members(&self, view: &View) -> bool {
        let own = std::iter::once(&self.own_beat);
        let mut beats = own.chain(self.peers.values().map(|peer| &peer.beat));
        view.members.len() == self.peers.len() + 1
            && beats.all(|beat| {
                view.members
                    .get(&beat.entry)
                    .is_some_and(|known| known.boot == beat.boot && known.serving == beat.serving)
            })
    }

    /// The entries among which the slots of starting upstreams are divided.
    fn slot_holders(&self, now: Instant) -> IndexMap<EntryId, ZoneId> {
        let mut slot_holders: IndexMap<EntryId, ZoneId> = IndexMap::new();
        if self.own_entry_holds_slots() {
            slot_holders.insert(self.own_beat.entry.clone(), self.own_beat.zone.clone());
        }
        for (entry, peer) in &self.peers {
            if self.peer_holds_slots(peer) {
                slot_holders.insert(entry.clone(), peer.beat.zone.clone());
            }
        }
        for (entry, listed) in &self.listed {
            if *entry != self.own_beat.entry && self.silent_entry_holds_slots(entry, listed, now) {
                slot_holders.insert(entry.clone(), listed.zone.clone());
            }
        }
        slot_holders.sort_unstable_keys();
        slot_holders
    }

    fn own_entry_holds_slots(&self) -> bool {
        let listed = self.listed.get(&self.own_beat.entry);
        let is_leaving = match listed {
            Some(listed) => listed.state == VmState::Leaving,
            None => self.was_listed,
        };
        self.own_beat.serving && !is_leaving
    }

    /// Whether a live peer holds slots: it accepts work, and the VM list does not show it as leaving.
    fn peer_holds_slots(&self, peer: &Peer) -> bool {
        let is_listed_live = match self.listed.get(&peer.beat.entry) {
            Some(listed) => listed.state == VmState::Live,
            None => !peer.was_listed,
        };
        peer.beat.serving && is_listed_live
    }

    /// Whether an entry that is not a live peer remains a slot holder.
    fn silent_entry_holds_slots(&self, entry: &EntryId, listed: &Listing, now: Instant) -> bool {
        self.is_enabled(Mechanism::SlotRetention)
            && !self.peers.contains_key(entry)
            && !listed.has_stopped_serving
            && listed.state == VmState::Live
            && listed.last_heard + SILENT_HOLDER_TIMEOUT > now
    }

    /// Whether this entry is isolated, so that its view is unreliable: it was paused a moment ago, or it reaches neither
    /// peers nor the VM list.
    fn is_isolated(&self, now: Instant, slot_holders: &IndexMap<EntryId, ZoneId>) -> bool {
        let is_alone = slot_holders
            .keys()
            .all(|entry| *entry == self.own_beat.entry);
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| at + self.timeout > now);
        let knows_nobody =
            self.list_received_at.is_none() && self.peers.is_empty() && !self.seed_peers.is_empty();
        if !self.is_enabled(Mechanism::PauseIsolation) {
            return false;
        }
        if self.connectivity.is_unconfirmed() && !is_alone {
            return true;
        }
        if is_alone {
            return knows_nobody;
        }
        !is_recent(self.connectivity.last_acknowledged()) && !is_recent(self.list_received_at)
    }
}
