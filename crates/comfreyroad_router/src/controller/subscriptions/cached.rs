use std::rc::Rc;
use std::time::Instant;

use crate::id::{Incarnation, Position};
use crate::record::{Content, Record, position};

/// The newest record of a key.
#[derive(Debug)]
pub(super) struct Cached {
    pub(super) record: Rc<Record>,
    // The position at which the content last changed. Renewals do not change it and are not forwarded.
    pub(super) changed_offset: Position,
    pub(super) learned_at: Instant,
    // Ordering key of the upstream's newest registration; kept after its removal.
    pub(super) newest_registration: Option<(Incarnation, u64)>,
}

impl Cached {
    /// Takes a new position of the key if it has none in that era: the store has the key, though with a content that is superseded.
    pub(super) fn move_to(&mut self, offset: Position) {
        if position::era(self.record.offset) < position::era(offset) {
            let record = Record {
                offset,
                ..(*self.record).clone()
            };
            self.record = Rc::new(record);
            self.changed_offset = offset;
        }
    }

    /// Whether the cache supersedes a registration that arrives late: it was made before the newest one, or before the
    /// upstream was removed.
    pub(super) fn supersedes(&self, record: &Record) -> bool {
        let Content::Upstream(registration) = &record.content else {
            return false;
        };
        let ordering_key = Some(registration.ordering_key());
        let is_removed = self.record.content == Content::Removed;
        ordering_key < self.newest_registration
            || (is_removed && ordering_key == self.newest_registration)
    }
}
