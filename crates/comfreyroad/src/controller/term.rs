//! The end of the venture's term.
//!
//! For a configured time before the term ends, no new sessions begin. After the end no new work is accepted; each entry
//! completes its open work and then appends a record that it is gone. Once all entries have done so, any of them appends
//! the closing record with the totals of each firm. The first closing record on the log counts, and no work follows it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexSet;

use super::Controller;
use crate::clock::Now;
use crate::event::{Event, Page};
use crate::frame::View;
use crate::id::EntryId;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Record, Stream, Writer};
use crate::rules::InForce;
use crate::settings::Settings;

/// Time without a new bill after which the closing record is written.
const QUIET_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a closing record that was not read back from the log is written again.
const REWRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Tracks the stages of the end of the term.
#[derive(Debug)]
pub struct Term {
    writer: Writer,
    session_cutoff: Duration,
    stage: Stage,
    rules: Option<Arc<InForce>>,
    members: Rc<View>,
    remaining: Option<usize>,
    gone: IndexSet<EntryId>,
    over_since: Option<Instant>,
    last_bill: Option<Instant>,
    rewrite_at: Option<Instant>,
}

/// A stage of the end of the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Normal operation.
    #[default]
    Open,
    /// No new sessions begin.
    EndsSoon,
    /// The term is over: no new work is accepted, and open calls are completed.
    Over,
    /// This entry has completed its work and appended a record of this.
    Drained,
    /// The closing record is on the log.
    Closed,
}

impl Stage {
    /// Returns the name of the stage for display.
    pub fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::EndsSoon => "near",
            Self::Over => "over",
            Self::Drained => "drained",
            Self::Closed => "closed",
        }
    }
}

impl Term {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            writer: Writer {
                entry: settings.entry.clone(),
                boot: settings.boot.clone(),
                number: 0,
            },
            session_cutoff: settings.session_cutoff,
            stage: Stage::Open,
            rules: None,
            members: Rc::default(),
            remaining: None,
            gone: IndexSet::new(),
            over_since: None,
            last_bill: None,
            rewrite_at: None,
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the closing record is on the log, after which no work is accepted whatever rules follow.
    pub fn is_closed(&self) -> bool {
        self.stage == Stage::Closed
    }

    fn set(&mut self, stage: Stage, out: &mut Outbox) {
        let kind = match stage {
            Stage::EndsSoon => &note::TERM_NEAR,
            Stage::Over => &note::TERM_OVER,
            Stage::Closed => &note::VENTURE_CLOSED,
            Stage::Open | Stage::Drained => &note::TERM_CHANGED,
        };
        out.note(Note::new(kind).with("stage", stage.name()));
        let is_over = |stage: Stage| !matches!(stage, Stage::Open | Stage::EndsSoon);
        if is_over(stage) != is_over(self.stage) {
            (self.remaining, self.over_since) = (None, None);
            out.raise(Event::TermOver(is_over(stage)));
        }
        self.stage = stage;
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let end = self.rules.as_ref().and_then(|rules| rules.rules.term);
        let due = match end {
            Some(end) if end <= now.system => Stage::Over,
            Some(end) if end <= now.system + self.session_cutoff => Stage::EndsSoon,
            _ => Stage::Open,
        };
        match (self.stage, due) {
            (Stage::Closed, _) => {}
            (Stage::Over, Stage::Over) => {
                self.over_since.get_or_insert(now.instant);
                self.finish_drain(out);
            }
            (Stage::Drained, Stage::Over) => self.close(now, out),
            (stage, due) if stage != due => self.set(due, out),
            _ => {}
        }
    }

    /// Appends the record that this entry is gone, once no call and no record remains.
    fn finish_drain(&mut self, out: &mut Outbox) {
        if self.remaining != Some(0) {
            return;
        }
        out.raise(Event::Write {
            stream: Stream::Rules,
            record: Rc::new(Record::Gone {
                writer: self.writer.clone(),
                cut: Vec::new(),
            }),
        });
        self.set(Stage::Drained, out);
    }

    /// Requests the closing record, once all entries are gone and no bill has been read for the quiet period.
    fn close(&mut self, now: Now, out: &mut Outbox) {
        let all_gone = self
            .members
            .members
            .keys()
            .all(|entry| self.gone.contains(entry));
        // After the quiet period since both the end and the last bill, the bills of entries that were still working have been
        // read.
        let is_quiet = [self.over_since, self.last_bill]
            .into_iter()
            .flatten()
            .all(|at| at + QUIET_PERIOD <= now.instant);
        let is_due = self.rewrite_at.is_none_or(|at| at <= now.instant);
        if !(all_gone && is_quiet && is_due) {
            return;
        }
        self.rewrite_at = Some(now.instant + REWRITE_INTERVAL);
        out.raise(Event::ClosingDue);
    }

    fn on_page(&mut self, now: Now, page: &Page, out: &mut Outbox) {
        for entry in &page.entries {
            match &entry.record {
                Some(Record::Gone { writer, .. }) if self.is_after_end(entry.at) => {
                    self.gone.insert(writer.entry.clone());
                }
                Some(Record::Closing { .. }) if !self.is_closed() => {
                    self.set(Stage::Closed, out);
                }
                Some(Record::Bill(_)) => self.last_bill = Some(now.instant),
                _ => {}
            }
        }
    }

    fn is_after_end(&self, at: SystemTime) -> bool {
        let end = self.rules.as_ref().and_then(|rules| rules.rules.term);
        end.is_some_and(|end| end <= at)
    }
}

impl Controller for Term {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::InForce(rules) => self.rules = Some(Arc::clone(rules)),
            Event::Members(view) => self.members = Rc::clone(view),
            Event::Unfinished(remaining) => self.remaining = Some(*remaining),
            Event::Read(page) => self.on_page(now, page, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
