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

/// Delay per rank, so that an entry writes a checkpoint only if those ranked before it have not.
const RANK_DELAY: Duration = Duration::from_secs(5);
/// Time for peers to report the age of the newest checkpoint before an entry assumes that one is due.
const LEARN_TIME: Duration = Duration::from_secs(3);
/// Delay after writing a checkpoint, for it to be read back.
const READ_BACK_DELAY: Duration = Duration::from_secs(10);

/// Writes checkpoints of the rules in force to the log.
///
/// The verdict on a publish depends on the rules in force before it, so a reader that starts late needs a checkpoint and
/// every record from the checkpoint's offset on. Any entry may write one, and all would write the same content. Entries
/// take turns by rendezvous rank, so that usually only one writes. Reading a checkpoint restarts the interval of every
/// entry, and the age of the newest one is gossiped.
#[derive(Debug)]
pub(super) struct Checkpointer {
    entry: EntryId,
    interval: Duration,
    written_at: Option<Instant>,
    next_offset: Option<Offset>,
    learn_until: Option<Instant>,
    not_before: Option<Instant>,
}

impl Checkpointer {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            interval: settings.checkpoint_after,
            written_at: None,
            next_offset: None,
            learn_until: None,
            not_before: None,
        }
    }

    /// Age of the newest checkpoint on the log.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.written_at.map(|at| now.saturating_duration_since(at))
    }

    /// Records when the newest checkpoint known to a peer was written.
    pub(super) fn on_peer(&mut self, at: Instant) {
        self.written_at = self.written_at.max(Some(at));
    }

    /// Records the checkpoints of a page, and forgets the newest one if records that it needs have expired.
    pub(super) fn on_page(&mut self, now: Instant, page: &Page) {
        // A checkpoint that is found while catching up may be of any age.
        let has_caught_up = self.learn_until.is_some();
        for entry in &page.entries {
            if let Some(Record::Checkpoint { next, .. }) = &entry.record {
                self.next_offset = self.next_offset.max(Some(*next));
                self.written_at = self
                    .written_at
                    .max(has_caught_up.then_some(page.requested_at));
            }
        }
        if page.is_last() {
            self.learn_until.get_or_insert(now + LEARN_TIME);
        }
        if self.next_offset.is_some_and(|next| next < page.oldest) {
            (self.next_offset, self.written_at) = (None, None);
        }
    }

    /// Writes a checkpoint if one is due and it is this entry's turn.
    pub(super) fn write(
        &mut self,
        now: Instant,
        view: &View,
        snapshot: impl FnOnce() -> Option<Snapshot>,
        out: &mut Outbox,
    ) {
        let due = self.written_at.map(|at| at + self.interval);
        let Some(due) = due.or(self.learn_until) else {
            return;
        };
        if due > now || self.not_before.is_some_and(|at| at > now) {
            return;
        }
        let members = view.members.keys().map(|entry| &**entry);
        let rank = rendezvous::rank("checkpoint", &self.entry, members);
        if due + RANK_DELAY * rank as u32 > now {
            return;
        }
        let Some(record) = snapshot().as_ref().and_then(Snapshot::to_record) else {
            return;
        };
        self.not_before = Some(now + READ_BACK_DELAY);
        out.note(Note::new(&note::RULES_CHECKPOINTED).with("entry", &self.entry));
        out.raise(Event::Write {
            stream: Stream::Rules,
            record: Rc::new(record),
        });
    }
}
