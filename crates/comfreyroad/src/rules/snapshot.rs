use indexmap::IndexSet;

use super::InForce;
use crate::id::{Generation, Offset, VersionId};
use crate::record::Record;

/// The rules and holds in force after all records before an offset.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Offset of the first record that is not included.
    pub next: Offset,
    /// The rules in force. `None` before the first publish.
    pub in_force: Option<InForce>,
    /// The versions that are held.
    pub held: IndexSet<VersionId>,
}

impl Snapshot {
    /// Reads a checkpoint. `None` for other records, and for rules that this program cannot read.
    pub fn from_record(record: &Record) -> Option<Self> {
        let Record::Checkpoint {
            generation,
            offset,
            by,
            text,
            next,
            held,
        } = record
        else {
            return None;
        };
        Some(Self {
            next: *next,
            in_force: Some(InForce::parse(*generation, *offset, by, text)?),
            held: held.iter().cloned().collect(),
        })
    }

    /// Writes the snapshot as a checkpoint record. `None` if no rules are in force.
    pub fn to_record(&self) -> Option<Record> {
        let rules = self.in_force.as_ref()?;
        Some(Record::Checkpoint {
            generation: rules.generation,
            offset: rules.offset,
            by: rules.by.clone(),
            text: rules.text.clone(),
            next: self.next,
            held: self.held.iter().cloned().collect(),
        })
    }

    /// The generation in force, or 0 before the first publish.
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(0, |rules| rules.generation)
    }
}
