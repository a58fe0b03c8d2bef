//! Bills: the first with a key counts, and an answer ends only when its bill is safe.

use std::rc::Rc;
use std::time::Instant;

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::{CallId, CustomerId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Bill, Key, Record, Stream};
use crate::settings::Settings;

/// Bills on their way to the log, and those read from it.
#[derive(Debug)]
pub struct Ledger {
    bill_wait: std::time::Duration,
    pending: IndexMap<Key, Pending>,
    billed: IndexMap<Key, u64>,
    sums: IndexMap<CustomerId, Sum>,
    at_risk: u64,
}

/// A bill not yet read back from the log.
#[derive(Debug)]
struct Pending {
    call: Option<CallId>,
    give_up_at: Instant,
}

/// What a customer owes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Requests billed.
    pub requests: u64,
    /// Cost, in millionths of the venture's currency.
    pub cost: u64,
}

impl Ledger {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            bill_wait: settings.bill_wait,
            pending: IndexMap::new(),
            billed: IndexMap::new(),
            sums: IndexMap::new(),
            at_risk: 0,
        }
    }

    /// What each customer owes, by the log as far as it was read.
    pub fn sums(&self) -> &IndexMap<CustomerId, Sum> {
        &self.sums
    }

    /// Bills not yet known to be on the log.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Answers that ended before their bill was safe.
    pub fn at_risk(&self) -> u64 {
        self.at_risk
    }

    fn on_wanted(&mut self, now: Now, call: CallId, bill: &Bill, out: &mut Outbox) {
        if self.billed.contains_key(&bill.key) {
            out.raise(Event::BillSafe(call));
            return;
        }
        let give_up_at = now.instant + self.bill_wait;
        self.pending.insert(
            bill.key.clone(),
            Pending {
                call: Some(call),
                give_up_at,
            },
        );
        out.raise(Event::Write {
            stream: Stream::Ledger,
            record: Rc::new(Record::Bill(bill.clone())),
        });
    }

    fn on_bill(&mut self, bill: &Bill, out: &mut Outbox) {
        if let Some(pending) = self.pending.swap_remove(&bill.key)
            && let Some(call) = pending.call
        {
            out.raise(Event::BillSafe(call));
        }
        if self.billed.contains_key(&bill.key) {
            out.note(Note::new(&note::BILL_DOUBLED).with("request", &bill.key.request));
            return;
        }
        self.billed.insert(bill.key.clone(), bill.cost);
        let sum = self.sums.entry(bill.key.customer.clone()).or_default();
        sum.requests += 1;
        sum.cost += bill.cost;
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        for (key, pending) in &mut self.pending {
            if pending.give_up_at > now.instant {
                continue;
            }
            let Some(call) = pending.call.take() else {
                continue;
            };
            self.at_risk += 1;
            out.note(Note::new(&note::BILL_AT_RISK).with("request", &key.request));
            out.raise(Event::BillSafe(call));
        }
    }
}

impl Controller for Ledger {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::BillWanted { call, bill } => self.on_wanted(now, *call, bill, out),
            Event::Read(page) if page.stream == Stream::Ledger => {
                for entry in &page.entries {
                    if let Some(Record::Bill(bill)) = &entry.record {
                        self.on_bill(bill, out);
                    }
                }
            }
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
