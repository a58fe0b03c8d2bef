use super::{Members, PROBE_INTERVAL};
use crate::clock::Now;
use crate::event::Event;
use crate::frame::Heartbeat;
use crate::id::Address;
use crate::outbox::Outbox;

/// Peers of the own zone probed in each round while peers of other zones are known.
const OWN_ZONE_PROBES: usize = 2;
/// Peers probed in each round. Other zones fill the places that the own zone leaves.
const PROBES_PER_ROUND: usize = 3;

impl Members {
    /// Requests frames for a few randomly chosen peers.
    pub(super) fn probe(&mut self, out: &mut Outbox) {
        let zone = &self.own_beat.zone;
        let (mut own_zone, mut other_zones): (Vec<&Heartbeat>, Vec<&Heartbeat>) = self
            .peers
            .values()
            .map(|peer| &peer.beat)
            .partition(|beat| beat.zone == *zone);
        self.rng.shuffle(&mut own_zone);
        self.rng.shuffle(&mut other_zones);
        let own_zone_count = if other_zones.is_empty() {
            PROBES_PER_ROUND
        } else {
            OWN_ZONE_PROBES
        };
        let mut targets: Vec<Address> = own_zone
            .iter()
            .take(own_zone_count)
            .map(|beat| beat.address.clone())
            .collect();
        let rest = PROBES_PER_ROUND - targets.len();
        targets.extend(
            other_zones
                .iter()
                .take(rest)
                .map(|beat| beat.address.clone()),
        );
        // Probing a suspect lets it refute the suspicion; probing a silent entry finds one that should be live.
        targets.extend(self.random_suspect());
        targets.extend(self.random_silent_entry());
        targets.sort();
        targets.dedup();
        for to in targets {
            out.raise(Event::Gossip { to });
        }
    }

    fn random_suspect(&mut self) -> Option<Address> {
        let suspects = self
            .peers
            .values()
            .filter(|peer| peer.suspect_until.is_some());
        let suspects: Vec<&Address> = suspects.map(|peer| &peer.beat.address).collect();
        self.rng.choice(suspects).cloned()
    }

    /// A random entry of the settings or the VM list that is not a live peer.
    fn random_silent_entry(&mut self) -> Option<Address> {
        let listed = self.listed.values().map(|listed| &listed.address);
        let is_silent = |address: &&Address| {
            **address != self.own_beat.address
                && !self
                    .peers
                    .values()
                    .any(|peer| peer.beat.address == **address)
        };
        let silent: Vec<&Address> = self
            .seed_peers
            .iter()
            .chain(listed)
            .filter(is_silent)
            .collect();
        self.rng.choice(silent).cloned()
    }

    /// Marks a peer as a suspect after a failed probe.
    pub(super) fn on_probe_failed(&mut self, now: Now, address: &Address) {
        let suspect_until = now.instant + self.timeout;
        let transmissions = self.update_transmissions();
        let failed = self
            .peers
            .values_mut()
            .find(|peer| peer.beat.address == *address);
        let Some(peer) = failed.filter(|peer| peer.suspect_until.is_none()) else {
            return;
        };
        peer.suspect_until = Some(suspect_until);
        peer.beat.suspect = true;
        self.updates.add(peer.beat.clone(), transmissions);
        // The next probe round contacts the peer again.
        self.next_round_at = self
            .next_round_at
            .map(|at| at.min(now.instant + PROBE_INTERVAL));
    }
}
