use indexmap::IndexMap;

use super::Beat;
use crate::id::{EntryId, ZoneId};

/// The live entries, as one of them sees them, itself among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Newest beat of each live entry, sorted by name.
    pub members: IndexMap<EntryId, Beat>,
    /// The entries among which slots of starting upstreams are divided: those that take work, and silent ones that may.
    pub seats: IndexMap<EntryId, ZoneId>,
    /// Whether this entry has lost touch, so that nothing in here can be relied on.
    pub is_void: bool,
}

impl View {
    /// The entries that divide the slots of upstreams in a zone: its own, or those of the next zone where it has none.
    pub fn seats_for<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a str> {
        let is_seated = self.seats.values().any(|seat| seat == zone);
        let zones = self.seats.values().map(|seat| &**seat);
        let zone = if is_seated {
            Some(&**zone)
        } else {
            crate::rendezvous::owner(zone, zones)
        };
        let seats = self.seats.iter();
        seats
            .filter(move |(_, seat)| Some(&***seat) == zone)
            .map(|(entry, _)| &**entry)
    }
}
