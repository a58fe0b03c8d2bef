//! Claims: a request that may run once at most runs for the first claim on the log, and for no other.

use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::{BootId, CallId, EntryId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Key, Outcome, Record, Stream, Writer};
use crate::settings::Settings;

/// Evidence that a claim is the first on the log. Only this controller makes one, from the log's own order.
#[derive(Debug)]
pub struct Proof(());

/// What the log says of a claim.
#[derive(Debug)]
pub enum Verdict {
    /// It is the first.
    First(Proof),
    /// It is not on the log yet.
    Open,
    /// Another one was first; its outcome, where that is known.
    Taken(Option<Outcome>),
}

/// Claims read from the log.
#[derive(Debug)]
pub struct Claims {
    entry: EntryId,
    boot: BootId,
    claims: IndexMap<Key, Claim>,
    // Given back, so that a late copy of the same claim does not count.
    released: IndexSet<Writer>,
    wanted: IndexMap<Key, Writer>,
}

/// The first claim of a request.
#[derive(Debug)]
struct Claim {
    writer: Writer,
    outcome: Option<Outcome>,
}

impl Claims {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            boot: settings.boot.clone(),
            claims: IndexMap::new(),
            released: IndexSet::new(),
            wanted: IndexMap::new(),
        }
    }

    /// The name under which a call claims.
    pub fn writer(&self, call: CallId) -> Writer {
        Writer {
            entry: self.entry.clone(),
            boot: self.boot.clone(),
            number: call,
        }
    }

    /// What the log, as far as it was read, says of a writer's claim.
    pub fn verdict(&self, key: &Key, writer: &Writer) -> Verdict {
        match self.claims.get(key) {
            Some(claim) if claim.writer == *writer => Verdict::First(Proof(())),
            Some(claim) => Verdict::Taken(claim.outcome.clone()),
            None => Verdict::Open,
        }
    }

    fn on_record(&mut self, record: &Record, out: &mut Outbox) {
        match record {
            Record::Claim { key, writer } => self.on_claim(key, writer, out),
            Record::Release { key, writer } => {
                self.released.insert(writer.clone());
                if self
                    .claims
                    .get(key)
                    .is_some_and(|claim| claim.writer == *writer)
                {
                    self.claims.swap_remove(key);
                }
            }
            Record::Settle {
                key,
                writer,
                outcome,
            } => {
                let claim = self
                    .claims
                    .get_mut(key)
                    .filter(|claim| claim.writer == *writer);
                if let Some(claim) = claim {
                    claim.outcome.get_or_insert_with(|| outcome.clone());
                }
            }
            _ => {}
        }
    }

    fn on_claim(&mut self, key: &Key, writer: &Writer, out: &mut Outbox) {
        if self.released.contains(writer) {
            return;
        }
        let claim = Claim {
            writer: writer.clone(),
            outcome: None,
        };
        let first = self.claims.entry(key.clone()).or_insert(claim);
        let Some(wanted) = self.wanted.get(key) else {
            return;
        };
        if first.writer != *wanted {
            out.note(
                Note::new(&note::CLAIM_LOST)
                    .with("request", &key.request)
                    .with("to", &first.writer.entry),
            );
        }
        self.wanted.swap_remove(key);
        out.raise(Event::ClaimDecided(key.clone()));
    }
}

impl Controller for Claims {
    fn handle(&mut self, _: Now, event: &Event, out: &mut Outbox) {
        let write = |record| Event::Write {
            stream: Stream::Claims,
            record: Rc::new(record),
        };
        match event {
            Event::ClaimWanted { key, writer } => {
                self.wanted.insert(key.clone(), writer.clone());
                out.raise(write(Record::Claim {
                    key: key.clone(),
                    writer: writer.clone(),
                }));
            }
            Event::ClaimReleased { key, writer } => {
                self.wanted.swap_remove(key);
                out.raise(write(Record::Release {
                    key: key.clone(),
                    writer: writer.clone(),
                }));
            }
            Event::Read(page) if page.stream == Stream::Claims => {
                for record in page
                    .entries
                    .iter()
                    .filter_map(|entry| entry.record.as_ref())
                {
                    self.on_record(record, out);
                }
            }
            _ => {}
        }
    }
}
