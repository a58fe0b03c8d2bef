//! Claims give at-most-once execution: of several claims for a request, only the first one on the log may run it.
//!
//! An entry holds a request when it reads its own claim as the first. An entry whose claim is not the first waits for a
//! bounded time for the holder. It replays the recorded answer if the holder settles the claim, takes the request over if
//! the holder releases it, and otherwise reports that the request may have run.

mod claim;
mod proof;
mod status;
mod table;

pub use claim::Claim;
pub use proof::Proof;
pub use status::Status;
pub use table::Table;

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

/// Tracks the claims on the log and those that calls at this entry wait for.
#[derive(Debug)]
pub struct Claims {
    entry: EntryId,
    boot: BootId,
    horizon: Duration,
    claim_wait: Duration,
    table: Table,
    awaited: IndexMap<Writer, Key>,
    disabled: Vec<Mechanism>,
}

impl Claims {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            boot: settings.boot.clone(),
            horizon: settings.request_id_lifetime,
            claim_wait: settings.claim_wait,
            table: Table::new(settings.request_id_lifetime),
            awaited: IndexMap::new(),
            disabled: settings.disabled.clone(),
        }
    }

    /// Returns the identity under which a call makes its claim.
    pub fn writer(&self, call: CallId) -> Writer {
        Writer {
            entry: self.entry.clone(),
            boot: self.boot.clone(),
            number: call,
        }
    }

    /// Returns the claims read from the log so far.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the time at which a request stops waiting for its claim.
    pub fn wait_deadline(&self, head: &Head) -> Instant {
        head.deadline.min(head.received + self.claim_wait)
    }

    /// Returns the status of a writer's claim according to the records read so far.
    pub fn status(&self, key: &Key, writer: &Writer, now: Now) -> Status {
        let ignores_order = self.disabled.contains(&Mechanism::ClaimOrder);
        match self.table.holder(key) {
            Some(held) if held.writer == *writer || ignores_order => self.proof(held, now),
            Some(Claim {
                outcome: Some(outcome),
                ..
            }) => Status::Settled(outcome.clone()),
            _ => Status::Pending,
        }
    }

    /// A proof is valid for half the horizon; the other half is the allowance for clock differences.
    fn proof(&self, held: &Claim, now: Now) -> Status {
        let age = now.system.duration_since(held.at).unwrap_or_default();
        match (self.horizon / 2).checked_sub(age) {
            Some(validity)
                if held.is_conclusive || self.disabled.contains(&Mechanism::ClaimHistory) =>
            {
                Status::Granted(Proof::new(now.instant + validity))
            }
            _ => Status::Inconclusive,
        }
    }

    fn on_page(&mut self, page: &Page, out: &mut Outbox) {
        self.table.begin_page(page);
        for entry in &page.entries {
            let Some(key) = self.table.feed(entry) else {
                continue;
            };
            if let Some(Record::Settle { writer, .. }) = &entry.record {
                self.awaited.swap_remove(writer);
            }
            if self.awaited.values().any(|awaited| awaited == key) {
                self.on_awaited_record(entry, key, out);
            }
        }
    }

    /// Handles a record about a request that a call at this entry waits for.
    fn on_awaited_record(&mut self, entry: &LogEntry, key: &Key, out: &mut Outbox) {
        let Some(holder) = self.table.holder(key) else {
            return;
        };
        if !holder.is_conclusive && self.awaited.contains_key(&holder.writer) {
            out.note(Note::new(&note::CLAIM_UNDECIDABLE).with("request", &key.request));
        }
        let holder = &holder.writer;
        if let Some(Record::Claim { writer, .. }) = &entry.record
            && writer != holder
            && self.awaited.contains_key(writer)
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
                self.awaited.insert(writer.clone(), key.clone());
                out.raise(Self::write(Record::Claim {
                    key: key.clone(),
                    writer: writer.clone(),
                }));
            }
            Event::ClaimReleased { key, writer } => {
                self.awaited.swap_remove(writer);
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
