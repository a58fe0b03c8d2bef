use std::sync::Arc;
use std::time::SystemTime;

use indexmap::IndexSet;

use super::{Draft, Fault, InForce, Snapshot, Verdict};
use crate::id::{Generation, Offset, VersionId};
use crate::record::Record;

/// The rules stream, read in order: what is in force and what each publish came to.
///
/// What is in force is a function of all records before an offset. A reader that starts late, because older records
/// have expired, or that has missed some, does not know it ([`Self::is_known`]) until it finds a [`Snapshot`] of an
/// offset from which on it has every record. Until then it keeps the records and judges them anew with the snapshot.
#[derive(Clone, Debug, Default)]
pub struct History {
    in_force: Option<InForce>,
    published: Option<SystemTime>,
    held: IndexSet<VersionId>,
    start: Option<Offset>,
    next: Offset,
    is_known: bool,
    unread: Option<Offset>,
    kept: Vec<(Offset, SystemTime, Record)>,
}

impl History {
    /// A reader whose first record is at `start` and that has found the checkpoint of that time among the later ones.
    pub fn starting(start: Offset, checkpoint: &Record) -> Self {
        Self {
            in_force: Snapshot::read(checkpoint).and_then(|snapshot| snapshot.in_force),
            start: Some(start),
            next: start,
            is_known: true,
            ..Self::default()
        }
    }

    /// Takes the next record; answers for a publish. Records already taken are passed over.
    ///
    /// While the rules are not known, a verdict can still be judged anew.
    pub fn feed(&mut self, offset: Offset, at: SystemTime, record: &Record) -> Option<Verdict> {
        if !self.step(offset) {
            return None;
        }
        match record {
            Record::Publish { .. } | Record::Hold { .. } => {
                if !self.is_known {
                    self.kept.push((offset, at, record.clone()));
                }
                self.apply(offset, at, record)
            }
            Record::Checkpoint {
                generation, next, ..
            } => {
                self.compare(*generation, *next);
                // Whoever knows the rules learns nothing from a checkpoint.
                if self.lacks(*next) {
                    self.adopt(Snapshot::read(record)?);
                }
                None
            }
            _ => None,
        }
    }

    /// Takes in that another reader found a generation in force before an offset.
    ///
    /// Where this program refused a publish for its newer format and the other did not, the rules are no longer known.
    pub fn compare(&mut self, generation: Generation, next: Offset) {
        let has_passed = self.unread.is_some_and(|unread| unread < next);
        if self.is_known && has_passed && generation > self.generation() {
            self.restart(self.next);
        }
    }

    /// Passes over a record that this program cannot read.
    pub fn skip(&mut self, offset: Offset) {
        self.step(offset);
    }

    /// Tells that records before an offset are gone.
    pub fn expire(&mut self, oldest: Offset) {
        if self.start.is_none() || oldest > self.next {
            self.restart(oldest);
            self.next = oldest;
        }
    }

    /// Whether a snapshot of an offset tells something new.
    pub fn lacks(&self, next: Offset) -> bool {
        match self.start {
            Some(_) if self.is_known => next > self.next,
            Some(start) => next >= start,
            None => true,
        }
    }

    /// Takes over what another reader knows; does nothing where that is not newer.
    pub fn adopt(&mut self, snapshot: Snapshot) {
        if !self.lacks(snapshot.next) {
            return;
        }
        if snapshot.generation() != self.generation() {
            self.published = None;
        }
        self.in_force = snapshot.in_force;
        self.held = snapshot.held;
        self.is_known = true;
        self.unread = None;
        self.start.get_or_insert(snapshot.next);
        self.next = self.next.max(snapshot.next);
        for (offset, at, record) in std::mem::take(&mut self.kept) {
            if offset >= snapshot.next {
                self.apply(offset, at, &record);
            }
        }
    }

    /// What is in force by all records so far; `None` while that is not known.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.is_known.then(|| Snapshot {
            next: self.next,
            in_force: self.in_force.clone(),
            held: self.held.clone(),
        })
    }

    /// Whether what is in force is known for certain.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// The rules in force; `None` before the first publish.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// The generation in force; 0 before the first publish.
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(0, |rules| rules.generation)
    }

    /// When the rules in force were published; `None` where they are known from a snapshot only.
    pub fn published(&self) -> Option<SystemTime> {
        self.published
    }

    /// Versions that are held back.
    pub fn held(&self) -> &IndexSet<VersionId> {
        &self.held
    }

    /// The offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Moves on to an offset; false where that record has been taken.
    fn step(&mut self, offset: Offset) -> bool {
        if self.start.is_some() && offset < self.next {
            return false;
        }
        if self.start.is_none() || offset > self.next {
            self.restart(offset);
        }
        self.next = offset.saturating_add(1);
        true
    }

    /// Begins to read at an offset, with records missing before it.
    fn restart(&mut self, offset: Offset) {
        self.start = Some(offset);
        self.is_known = offset == 0;
        self.kept.clear();
    }

    fn apply(&mut self, offset: Offset, at: SystemTime, record: &Record) -> Option<Verdict> {
        match record {
            Record::Publish { by, after, text } => Some(self.publish(offset, at, by, *after, text)),
            Record::Hold {
                version,
                generation,
                ..
            } => {
                // A hold that was found under older rules came too late: the publish has lifted it.
                if *generation >= self.generation() {
                    self.held.insert(version.clone());
                }
                None
            }
            _ => None,
        }
    }

    fn publish(
        &mut self,
        offset: Offset,
        at: SystemTime,
        by: &Arc<str>,
        after: Generation,
        text: &Arc<str>,
    ) -> Verdict {
        if after != self.generation() {
            return Verdict::Stale {
                in_force: self.generation(),
                by: self
                    .in_force
                    .as_ref()
                    .map_or("".into(), |rules| rules.by.clone()),
            };
        }
        let draft = Draft::new(text.clone());
        if draft.is_newer() {
            // Refused here; a newer program may have accepted it, and will tell.
            self.unread = Some(offset);
        }
        let draft = match draft.parse().and_then(Draft::check) {
            Ok(draft) => draft,
            Err(faults) => return Verdict::Faulty(faults),
        };
        if draft.rules().after != after {
            return Verdict::Faulty(vec![Fault {
                line: 1,
                column: 1,
                found: format!("after {}", draft.rules().after),
                expected: format!("after {after}, as the publish says"),
            }]);
        }
        let generation = after.saturating_add(1);
        self.in_force = Some(InForce::new(draft, generation, offset, by.clone()));
        self.published = Some(at);
        self.held.clear();
        Verdict::Accepted { generation }
    }
}
