use std::sync::Arc;
use std::time::SystemTime;

use indexmap::IndexSet;

use super::{Draft, Fault, InForce, Snapshot, Verdict};
use crate::id::{Generation, Offset, VersionId};
use crate::record::Record;

/// A reader of the rules stream, which derives the rules in force and the verdict on each publish.
///
/// The rules in force are a function of all records before an offset. A reader that starts late, because older records
/// have expired, or that has missed records, does not know the rules ([`Self::is_known`]) until it finds a [`Snapshot`]
/// at an offset from which on it has every record. Until then it keeps the records, and replays them on the snapshot.
#[derive(Clone, Debug, Default)]
pub struct History {
    in_force: Option<InForce>,
    published_at: Option<SystemTime>,
    held: IndexSet<VersionId>,
    start: Option<Offset>,
    next: Offset,
    is_known: bool,
    /// Offset of the last publish that this program refused because of its newer format.
    newer_publish: Option<Offset>,
    /// Records read while the rules are not known.
    pending: Vec<(Offset, SystemTime, Record)>,
}

impl History {
    /// Creates a reader whose first record is at `start`. The checkpoint is a later record that contains the rules in
    /// force at `start`.
    pub fn from_checkpoint(start: Offset, checkpoint: &Record) -> Self {
        Self {
            in_force: Snapshot::from_record(checkpoint).and_then(|snapshot| snapshot.in_force),
            start: Some(start),
            next: start,
            is_known: true,
            ..Self::default()
        }
    }

    /// Applies the next record. Returns the verdict if the record is a publish. Records that were already applied are
    /// skipped.
    ///
    /// While the rules are not known, a verdict is provisional.
    pub fn feed(&mut self, offset: Offset, at: SystemTime, record: &Record) -> Option<Verdict> {
        if !self.advance(offset) {
            return None;
        }
        match record {
            Record::Publish { .. } | Record::Hold { .. } => {
                if !self.is_known {
                    self.pending.push((offset, at, record.clone()));
                }
                self.apply(offset, at, record)
            }
            Record::Checkpoint {
                generation, next, ..
            } => {
                self.observe_generation(*generation, *next);
                // A checkpoint contains nothing new for a reader that knows the rules.
                if self.needs(*next) {
                    self.apply_snapshot(Snapshot::from_record(record)?);
                }
                None
            }
            _ => None,
        }
    }

    /// Observes that for another reader a generation is in force before an offset.
    ///
    /// If the other reader has accepted a publish that this program refused because of its newer format, the rules are
    /// no longer known.
    pub fn observe_generation(&mut self, generation: Generation, next: Offset) {
        let has_passed = self.newer_publish.is_some_and(|publish| publish < next);
        if self.is_known && has_passed && generation > self.generation() {
            self.restart(self.next);
        }
    }

    /// Skips a record that this program cannot read.
    pub fn skip(&mut self, offset: Offset) {
        self.advance(offset);
    }

    /// Observes that the log has dropped the records before an offset.
    pub fn expire(&mut self, oldest: Offset) {
        if self.start.is_none() || oldest > self.next {
            self.restart(oldest);
            self.next = oldest;
        }
    }

    /// Whether a snapshot at an offset contains something new.
    pub fn needs(&self, next: Offset) -> bool {
        match self.start {
            Some(_) if self.is_known => next > self.next,
            Some(start) => next >= start,
            None => true,
        }
    }

    /// Applies the snapshot of another reader, unless it contains nothing new.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) {
        if !self.needs(snapshot.next) {
            return;
        }
        if snapshot.generation() != self.generation() {
            self.published_at = None;
        }
        self.in_force = snapshot.in_force;
        self.held = snapshot.held;
        self.is_known = true;
        self.newer_publish = None;
        self.start.get_or_insert(snapshot.next);
        self.next = self.next.max(snapshot.next);
        for (offset, at, record) in std::mem::take(&mut self.pending) {
            if offset >= snapshot.next {
                self.apply(offset, at, &record);
            }
        }
    }

    /// A snapshot of the rules in force after all records so far. `None` while the rules are not known.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.is_known.then(|| Snapshot {
            next: self.next,
            in_force: self.in_force.clone(),
            held: self.held.clone(),
        })
    }

    /// Whether the rules in force are known for certain.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// The rules in force. `None` before the first publish.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// The generation in force, or 0 before the first publish.
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(0, |rules| rules.generation)
    }

    /// Time at which the rules in force were published. `None` if they are known only from a snapshot.
    pub fn published_at(&self) -> Option<SystemTime> {
        self.published_at
    }

    /// The versions that are held.
    pub fn held(&self) -> &IndexSet<VersionId> {
        &self.held
    }

    /// The offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Advances past an offset. Returns `false` if that record was already applied.
    fn advance(&mut self, offset: Offset) -> bool {
        if self.start.is_some() && offset < self.next {
            return false;
        }
        if self.start.is_none() || offset > self.next {
            self.restart(offset);
        }
        self.next = offset.saturating_add(1);
        true
    }

    /// Restarts at an offset before which records are missing.
    fn restart(&mut self, offset: Offset) {
        self.start = Some(offset);
        self.is_known = offset == 0;
        self.pending.clear();
    }

    fn apply(&mut self, offset: Offset, at: SystemTime, record: &Record) -> Option<Verdict> {
        match record {
            Record::Publish { by, after, text } => Some(self.publish(offset, at, by, *after, text)),
            Record::Hold {
                version,
                generation,
                ..
            } => {
                // A hold from an older generation is ignored, because the later publish has lifted it.
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
        if draft.is_newer_format() {
            // The publish is refused here, but a newer program may accept it: see `observe_generation`.
            self.newer_publish = Some(offset);
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
                expected: format!("after {after}, as in the publish record"),
            }]);
        }
        let generation = after.saturating_add(1);
        self.in_force = Some(InForce::new(draft, generation, offset, by.clone()));
        self.published_at = Some(at);
        self.held.clear();
        Verdict::Accepted { generation }
    }
}
