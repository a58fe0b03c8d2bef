use std::sync::Arc;
use std::time::SystemTime;

use indexmap::IndexSet;

use super::{Draft, Fault, InForce, Verdict};
use crate::id::{Generation, Offset, VersionId};
use crate::record::Record;

/// The rules stream, read in order: what is in force and what each publish came to.
///
/// A reader that starts late, because older records have expired, learns the rules before its first record from the
/// newest checkpoint among those that it reads. A checkpoint may come late and be overtaken by a newer one, so until
/// [`Self::caught_up`] the records are kept and judged anew when a newer one turns up.
#[derive(Clone, Debug, Default)]
pub struct History {
    in_force: Option<InForce>,
    published: Option<SystemTime>,
    held: IndexSet<VersionId>,
    base: Option<Offset>,
    start: Option<Offset>,
    next: Offset,
    is_caught_up: bool,
    kept: Vec<(Offset, SystemTime, Record)>,
}

impl History {
    /// A reader whose first record is at `start` and that has found the checkpoint of that time among the later ones.
    pub fn starting(start: Offset, checkpoint: &Record) -> Self {
        let mut history = Self {
            start: Some(start),
            next: start,
            ..Self::default()
        };
        if let Record::Checkpoint {
            generation,
            offset,
            by,
            text,
        } = checkpoint
        {
            history.checkpoint(*generation, *offset, by, text);
        }
        history
    }

    /// Takes the next record; answers for a publish. Records already taken are passed over.
    ///
    /// Where the reader started late, a verdict given before [`Self::caught_up`] can still be judged anew.
    pub fn feed(&mut self, offset: Offset, at: SystemTime, record: &Record) -> Option<Verdict> {
        if !self.step(offset) {
            return None;
        }
        match record {
            Record::Publish { .. } | Record::Hold { .. } => {
                if !self.is_caught_up && self.start != Some(0) {
                    self.kept.push((offset, at, record.clone()));
                }
                self.apply(offset, at, record)
            }
            Record::Checkpoint {
                generation,
                offset,
                by,
                text,
            } => {
                self.checkpoint(*generation, *offset, by, text);
                None
            }
            _ => None,
        }
    }

    /// Passes over a record that this program cannot read.
    pub fn skip(&mut self, offset: Offset) {
        self.step(offset);
    }

    /// Tells that the newest record of the stream has been taken: from here on the generation only rises.
    pub fn caught_up(&mut self) {
        self.is_caught_up = true;
        self.kept = Vec::new();
    }

    /// Whether the newest record was reached once.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// The rules in force; `None` before the first publish.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// The generation in force; 0 before the first publish.
    pub fn generation(&self) -> Generation {
        self.in_force.as_ref().map_or(0, |rules| rules.generation)
    }

    /// When the rules in force were published; `None` where they are known from a checkpoint only.
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
        self.base = self.in_force.as_ref().map(|rules| rules.offset);
        self.is_caught_up = false;
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
        let draft = match Draft::new(text.clone()).parse().and_then(Draft::check) {
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

    fn checkpoint(
        &mut self,
        generation: Generation,
        brought: Offset,
        by: &Arc<str>,
        text: &Arc<str>,
    ) {
        let is_before_start = self.start.is_some_and(|start| brought < start);
        // Whatever came into force since the start was judged here and needs no checkpoint.
        let is_newer = if self.is_caught_up {
            generation > self.generation()
        } else {
            is_before_start && self.base.is_none_or(|base| brought > base)
        };
        if !is_newer {
            return;
        }
        // A checkpoint stands on a publish that was accepted, so this fails only for a newer format.
        let Ok(draft) = Draft::new(text.clone()).parse().and_then(Draft::check) else {
            return;
        };
        self.in_force = Some(InForce::new(draft, generation, brought, by.clone()));
        self.published = None;
        self.held.clear();
        self.base = Some(brought);
        for (offset, at, record) in std::mem::take(&mut self.kept) {
            self.apply(offset, at, &record);
            self.kept.push((offset, at, record));
        }
    }
}
