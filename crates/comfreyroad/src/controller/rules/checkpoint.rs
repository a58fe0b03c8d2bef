use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::event::{Event, Page};
use crate::frame::View;
use crate::id::{EntryId, Offset};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Record, Stream};
use crate::rendezvous;
use crate::rules::Snapshot;
use crate::settings::Settings;

/// Time for the first in line to act before the next one does.
const STEP: Duration = Duration::from_secs(5);
/// Time for peers to tell how old the newest checkpoint is, before it counts as too old.
const LEARN: Duration = Duration::from_secs(3);
/// Pause after a checkpoint, for it to be read back.
const PAUSE: Duration = Duration::from_secs(10);

/// Repeats the rules in force on the log.
///
/// A publish is judged by what was in force before it, so a reader that starts late needs a checkpoint and every record
/// from its offset on. Any entry may write one, and all would write the same. They stand in line by rendezvous hash, so
/// that mostly one writes; a checkpoint that is read starts the time anew for all, and its age is passed on.
#[derive(Debug)]
pub(super) struct Checkpoint {
    entry: EntryId,
    after: Duration,
    written: Option<Instant>,
    next: Option<Offset>,
    learn_until: Option<Instant>,
    not_before: Option<Instant>,
}

impl Checkpoint {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            after: settings.checkpoint_after,
            written: None,
            next: None,
            learn_until: None,
            not_before: None,
        }
    }

    /// Age of the newest checkpoint on the log.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.written.map(|at| now.saturating_duration_since(at))
    }

    /// Takes in what a peer knows of the newest checkpoint.
    pub(super) fn on_peer(&mut self, at: Instant) {
        self.written = self.written.max(Some(at));
    }

    /// Takes in the checkpoints of a page, and how far records have expired.
    pub(super) fn on_page(&mut self, now: Instant, page: &Page) {
        // What a reader finds that was behind may be of any age.
        let is_live = self.learn_until.is_some();
        for entry in &page.entries {
            if let Some(Record::Checkpoint { next, .. }) = &entry.record {
                self.next = self.next.max(Some(*next));
                self.written = self.written.max(is_live.then_some(page.asked));
            }
        }
        if page.is_last() {
            self.learn_until.get_or_insert(now + LEARN);
        }
        if self.next.is_some_and(|next| next < page.oldest) {
            (self.next, self.written) = (None, None);
        }
    }

    /// Writes a checkpoint if it is due and this entry's turn.
    pub(super) fn write(
        &mut self,
        now: Instant,
        view: &View,
        snapshot: impl FnOnce() -> Option<Snapshot>,
        out: &mut Outbox,
    ) {
        let due = self.written.map(|at| at + self.after);
        let Some(due) = due.or(self.learn_until) else {
            return;
        };
        if due > now || self.not_before.is_some_and(|at| at > now) {
            return;
        }
        let members = view.members.keys().map(|entry| &**entry);
        let rank = rendezvous::rank("checkpoint", &self.entry, members);
        if due + STEP * rank as u32 > now {
            return;
        }
        let Some(record) = snapshot().as_ref().and_then(Snapshot::record) else {
            return;
        };
        self.not_before = Some(now + PAUSE);
        out.note(Note::new(&note::CHECKPOINT).with("entry", &self.entry));
        out.raise(Event::Write {
            stream: Stream::Rules,
            record: Rc::new(record),
        });
    }
}
