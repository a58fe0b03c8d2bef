use super::{Members, PERIOD};
use crate::clock::Now;
use crate::event::Event;
use crate::frame::Beat;
use crate::id::Address;
use crate::outbox::Outbox;

/// Peers of the own zone probed in each round.
const NEAR: usize = 2;
/// Peers of other zones probed in each round; more where the own zone has too few.
const ALL: usize = 3;

impl Members {
    /// Raises frames for a few peers, chosen at random.
    pub(super) fn probe(&mut self, out: &mut Outbox) {
        let zone = &self.own.zone;
        let (mut near, mut far): (Vec<&Beat>, Vec<&Beat>) = self
            .heard
            .values()
            .map(|heard| &heard.beat)
            .partition(|beat| beat.zone == *zone);
        self.rng.shuffle(&mut near);
        self.rng.shuffle(&mut far);
        let near_count = if far.is_empty() { ALL } else { NEAR };
        let mut targets: Vec<Address> = near
            .iter()
            .take(near_count)
            .map(|beat| beat.address.clone())
            .collect();
        let rest = ALL - targets.len();
        targets.extend(far.iter().take(rest).map(|beat| beat.address.clone()));
        // A suspect gets the chance to answer, and an entry that should live but was not heard is looked for.
        targets.extend(self.suspect());
        targets.extend(self.silent());
        targets.sort();
        targets.dedup();
        for to in targets {
            out.raise(Event::Gossip { to });
        }
    }

    fn suspect(&mut self) -> Option<Address> {
        let suspects = self.heard.values().filter(|heard| heard.lost_at.is_some());
        let suspects: Vec<&Address> = suspects.map(|heard| &heard.beat.address).collect();
        self.rng.choice(suspects).cloned()
    }

    /// An entry of the settings or of the VM list that was not heard.
    fn silent(&mut self) -> Option<Address> {
        let listed = self.listed.values().map(|listed| &listed.address);
        let is_silent = |address: &&Address| {
            **address != self.own.address
                && !self
                    .heard
                    .values()
                    .any(|heard| heard.beat.address == **address)
        };
        let silent: Vec<&Address> = self.seeds.iter().chain(listed).filter(is_silent).collect();
        self.rng.choice(silent).cloned()
    }

    /// A probe came to nothing: the peer is suspected from now on.
    pub(super) fn on_failure(&mut self, now: Now, address: &Address) {
        let lost_at = now.instant + self.timeout;
        let times = self.times();
        let failed = self
            .heard
            .values_mut()
            .find(|heard| heard.beat.address == *address);
        let Some(heard) = failed.filter(|heard| heard.lost_at.is_none()) else {
            return;
        };
        heard.lost_at = Some(lost_at);
        heard.beat.suspect = true;
        self.rumours.add(heard.beat.clone(), times);
        // The next round asks it again.
        self.next_round = self.next_round.map(|at| at.min(now.instant + PERIOD));
    }
}
