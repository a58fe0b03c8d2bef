use indexmap::IndexMap;

use super::Heartbeat;
use crate::id::{EntryId, ZoneId};

/// The live entries, as one of them sees them, itself among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Newest beat of each live entry, sorted by name.
    pub members: IndexMap<EntryId, Heartbeat>,
    /// The entries among which slots of starting upstreams are divided: those that take work, and silent ones that may.
    pub slot_holders: IndexMap<EntryId, ZoneId>,
    /// Whether this entry has lost touch, so that nothing in here can be relied on.
    pub is_isolated: bool,
}

impl View {
    /// The entries that divide the slots of upstreams in a zone: its own, or those of the next zone where it has none.
    pub fn slot_holders_for<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a str> {
        let is_seated = self.slot_holders.values().any(|seat| seat == zone);
        let zones = self.slot_holders.values().map(|seat| &**seat);
        let zone = if is_seated {
            Some(&**zone)
        } else {
            crate::rendezvous::owner(zone, zones)
        };
        let slot_holders = self.slot_holders.iter();
        slot_holders
            .filter(move |(_, seat)| Some(&***seat) == zone)
            .map(|(entry, _)| &**entry)
    }
}
