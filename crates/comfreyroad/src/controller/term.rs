//! The end of the venture.
//!
//! For a while before the term ends no session begins. From its end on there is no new work; each entry finishes what it
//! has and says so on the log. When all entries have, the totals of each firm are written as the closing record, by
//! whichever entry comes first: the first one on the log counts, and there is no work after it.

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

/// Time without a new bill after which the totals are written.
const QUIET: Duration = Duration::from_secs(5);
/// Time after which totals that did not come back from the log are written again.
const AGAIN: Duration = Duration::from_secs(10);

/// Keeps how far the end of the venture is.
#[derive(Debug)]
pub struct Term {
    writer: Writer,
    span: Duration,
    stage: Stage,
    rules: Option<Arc<InForce>>,
    members: Rc<View>,
    left: Option<usize>,
    gone: IndexSet<EntryId>,
    over_since: Option<Instant>,
    last_bill: Option<Instant>,
    write_at: Option<Instant>,
}

/// How far the end is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Work goes on.
    #[default]
    Open,
    /// No session begins.
    EndsSoon,
    /// No new work; what there is gets finished.
    Over,
    /// This entry has finished, and has said so on the log.
    Drained,
    /// The totals are on the log.
    Closed,
}

impl Stage {
    /// Its name, for people.
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
            span: settings.last_sessions,
            stage: Stage::Open,
            rules: None,
            members: Rc::default(),
            left: None,
            gone: IndexSet::new(),
            over_since: None,
            last_bill: None,
            write_at: None,
        }
    }

    /// How far the end is.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether there is no work any more, whatever rules follow.
    pub fn is_closed(&self) -> bool {
        self.stage == Stage::Closed
    }

    fn set(&mut self, stage: Stage, out: &mut Outbox) {
        let kind = match stage {
            Stage::EndsSoon => &note::TERM_NEAR,
            Stage::Over => &note::TERM_OVER,
            Stage::Closed => &note::CLOSED,
            Stage::Open | Stage::Drained => &note::TERM_MOVED,
        };
        out.note(Note::new(kind).with("stage", stage.name()));
        let is_over = |stage: Stage| !matches!(stage, Stage::Open | Stage::EndsSoon);
        if is_over(stage) != is_over(self.stage) {
            (self.left, self.over_since) = (None, None);
            out.raise(Event::TermOver(is_over(stage)));
        }
        self.stage = stage;
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        let end = self.rules.as_ref().and_then(|rules| rules.rules.term);
        let due = match end {
            Some(end) if end <= now.system => Stage::Over,
            Some(end) if end <= now.system + self.span => Stage::EndsSoon,
            _ => Stage::Open,
        };
        match (self.stage, due) {
            (Stage::Closed, _) => {}
            (Stage::Over, Stage::Over) => {
                self.over_since.get_or_insert(now.instant);
                self.drain(out);
            }
            (Stage::Drained, Stage::Over) => self.close(now, out),
            (stage, due) if stage != due => self.set(due, out),
            _ => {}
        }
    }

    /// Says that this entry has finished, once it has.
    fn drain(&mut self, out: &mut Outbox) {
        if self.left != Some(0) {
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

    /// Writes the totals, once all entries have finished and no bill has come for a while.
    fn close(&mut self, now: Now, out: &mut Outbox) {
        let all_gone = self
            .members
            .members
            .keys()
            .all(|entry| self.gone.contains(entry));
        // Both the end and the last bill are so long past that whoever was still at work has been heard of.
        let is_quiet = [self.over_since, self.last_bill]
            .into_iter()
            .flatten()
            .all(|at| at + QUIET <= now.instant);
        let is_due = self.write_at.is_none_or(|at| at <= now.instant);
        if !(all_gone && is_quiet && is_due) {
            return;
        }
        self.write_at = Some(now.instant + AGAIN);
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
            Event::CallsLeft(left) => self.left = Some(*left),
            Event::Read(page) => self.on_page(now, page, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
