use indexmap::IndexMap;

use super::Heartbeat;
use crate::id::{EntryId, ZoneId};

/// The membership view of an entry: the live entries, including itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The newest heartbeat of each live entry, sorted by name.
    pub members: IndexMap<EntryId, Heartbeat>,
    /// The entries among which the slots of starting upstreams are divided: those that accept work, and unresponsive
    /// ones that may still do so.
    pub slot_holders: IndexMap<EntryId, ZoneId>,
    /// Whether this entry has lost contact with its peers, so that the view is unreliable.
    pub is_isolated: bool,
}

impl View {
    /// The entries that divide the slots of the upstreams in a zone: the entries of that zone or, if it has none, those
    /// of another zone chosen by rendezvous hashing.
    pub fn slot_holders_for<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a str> {
        let has_holders = self.slot_holders.values().any(|holder| holder == zone);
        let zones = self.slot_holders.values().map(|holder| &**holder);
        let zone = if has_holders {
            Some(&**zone)
        } else {
            crate::rendezvous::owner(zone, zones)
        };
        let slot_holders = self.slot_holders.iter();
        slot_holders
            .filter(move |(_, holder_zone)| Some(&***holder_zone) == zone)
            .map(|(entry, _)| &**entry)
    }
}
