use indexmap::IndexSet;

use super::InForce;
use crate::id::{Generation, Offset, VersionId};
use crate::record::Record;

/// What is in force by all records before an offset.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Offset of the first record that is not counted.
    pub next: Offset,
    /// The rules; `None` where nothing was published before.
    pub in_force: Option<InForce>,
    /// Versions that are held back.
    pub held: IndexSet<VersionId>,
}

impl Snapshot {
    /// What a checkpoint says; `None` for other records, and for rules that this program cannot read.
    pub fn read(record: &Record) -> Option<Self> {
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
            in_force: Some(InForce::read(*generation, *offset, by, text)?),
            held: held.iter().cloned().collect(),
        })
    }

    /// The same as a record; `None` where nothing is in force.
    pub fn record(&self) -> Option<Record> {
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

    /// The generation in force; 0 before the first publish.
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(0, |rules| rules.generation)
    }
}
