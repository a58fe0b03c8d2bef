//! Claims: a request that may run once at most runs for the first claim on the log, and for no other.
//!
//! The entry that reads its own claim as the first holds the request. One whose claim is not the first waits a little
//! for the holder: it repeats the recorded answer, takes the request over where the holder gave it back, and else says
//! that the request may have run.

mod active_claim;
mod proof;
mod status;
mod table;

pub use active_claim::ActiveClaim;
pub use proof::Proof;
pub use status::ClaimStatus;
pub use table::ClaimTable;

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::{Event, LogEntry, Page};
use crate::id::{BootId, CallId, EntryId};
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Key, Record, Stream, Writer};
use crate::request::Head;
use crate::settings::Settings;

/// Claims read from the log, and those that calls at this entry wait for.
#[derive(Debug)]
pub struct Claims {
    entry: EntryId,
    boot: BootId,
    horizon: Duration,
    wait: Duration,
    table: ClaimTable,
    wanted: IndexMap<Writer, Key>,
    without: Vec<Mechanism>,
}

impl Claims {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            boot: settings.boot.clone(),
            horizon: settings.horizon,
            wait: settings.claim_wait,
            table: ClaimTable::new(settings.horizon),
            wanted: IndexMap::new(),
            without: settings.without.clone(),
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

    /// The claims stream, as far as it was read.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// When a request stops waiting for its claim.
    pub fn wait_deadline(&self, head: &Head) -> Instant {
        head.deadline.min(head.received + self.wait)
    }

    /// What the log, as far as it was read, says of a writer's claim.
    pub fn status(&self, key: &Key, writer: &Writer, now: Now) -> ClaimStatus {
        let ignores_order = self.without.contains(&Mechanism::ClaimOrder);
        match self.table.holder(key) {
            Some(held) if held.writer == *writer || ignores_order => self.proof(held, now),
            Some(ActiveClaim {
                outcome: Some(outcome),
                ..
            }) => ClaimStatus::Settled(outcome.clone()),
            _ => ClaimStatus::Pending,
        }
    }

    /// A proof lasts half the horizon, which leaves the other half for clocks that differ.
    fn proof(&self, held: &ActiveClaim, now: Now) -> ClaimStatus {
        let age = now.system.duration_since(held.at).unwrap_or_default();
        match (self.horizon / 2).checked_sub(age) {
            Some(left) if held.is_conclusive || self.without.contains(&Mechanism::ClaimHistory) => {
                ClaimStatus::Granted(Proof::new(now.instant + left))
            }
            _ => ClaimStatus::Inconclusive,
        }
    }

    fn on_page(&mut self, page: &Page, out: &mut Outbox) {
        self.table.begin_page(page);
        for entry in &page.entries {
            let Some(key) = self.table.feed(entry) else {
                continue;
            };
            if let Some(Record::Settle { writer, .. }) = &entry.record {
                self.wanted.swap_remove(writer);
            }
            if self.wanted.values().any(|wanted| wanted == key) {
                self.on_news(entry, key, out);
            }
        }
    }

    /// A record concerns a request that a call here waits for.
    fn on_news(&mut self, entry: &LogEntry, key: &Key, out: &mut Outbox) {
        let Some(holder) = self.table.holder(key) else {
            return;
        };
        if !holder.is_conclusive && self.wanted.contains_key(&holder.writer) {
            out.note(Note::new(&note::CLAIM_UNSURE).with("request", &key.request));
        }
        let holder = &holder.writer;
        if let Some(Record::Claim { writer, .. }) = &entry.record
            && writer != holder
            && self.wanted.contains_key(writer)
        {
            out.note(
                Note::new(&note::CLAIM_LOST)
                    .with("request", &key.request)
                    .with("to", &holder.entry),
            );
        }
        out.raise(Event::ClaimDecided(key.clone()));
    }

    fn write(record: Record) -> Event {
        Event::Write {
            stream: Stream::Claims,
            record: Rc::new(record),
        }
    }
}

impl Controller for Claims {
    fn handle(&mut self, _: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::ClaimWanted { key, writer } => {
                self.wanted.insert(writer.clone(), key.clone());
                out.raise(Self::write(Record::Claim {
                    key: key.clone(),
                    writer: writer.clone(),
                }));
            }
            Event::ClaimReleased { key, writer } => {
                self.wanted.swap_remove(writer);
                out.raise(Self::write(Record::Release {
                    key: key.clone(),
                    writer: writer.clone(),
                }));
            }
            Event::Read(page) if page.stream == Stream::Claims => self.on_page(page, out),
            _ => {}
        }
    }
}
