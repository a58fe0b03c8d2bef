use std::sync::Arc;
use std::time::Instant;

use comfreyroad::controller::ledger;
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::id::{CustomerId, Offset};
use comfreyroad::record::{REQUEST_ID_LIFETIME, Record, Stream};
use indexmap::IndexMap;

/// What one customer, or one firm, owes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// Requests billed.
    pub requests: u64,
    /// Their cost, in millionths of the venture's currency.
    pub cost: u64,
    /// Bills that repeat an earlier one's key and count for nothing.
    pub doubles: u64,
}

/// The ledger stream, read in order and counted as entries do.
#[derive(Debug)]
pub struct Ledger {
    state: ledger::State,
    oldest: Option<Offset>,
    before: Offset,
    doubles: IndexMap<CustomerId, u64>,
    closing: Vec<(Arc<str>, u64, u64)>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            state: ledger::State::new(REQUEST_ID_LIFETIME),
            oldest: None,
            before: 0,
            doubles: IndexMap::new(),
            closing: Vec::new(),
        }
    }
}

impl Ledger {
    /// Takes the next record.
    pub fn feed(&mut self, entry: &LogEntry) {
        let offset = entry.offset;
        self.state.begin_page(&Page {
            stream: Stream::Ledger,
            requested_at: Instant::now(),
            from: offset,
            oldest: *self.oldest.get_or_insert(offset),
            next: offset + 1,
            entries: vec![entry.clone()],
        });
        let is_double = self.state.feed(entry);
        match &entry.record {
            Some(Record::Bill(bill)) if is_double => {
                *self.doubles.entry(bill.key.customer.clone()).or_default() += 1;
            }
            Some(Record::Totals { before, .. }) => self.before = self.before.max(*before),
            Some(Record::Closing { sums }) if self.closing.is_empty() => {
                self.closing.clone_from(sums);
            }
            _ => {}
        }
    }

    /// Totals by customer.
    pub fn totals(&self) -> IndexMap<CustomerId, Total> {
        let total = |(customer, sum): (&CustomerId, &ledger::Total)| {
            let total = Total {
                requests: sum.requests,
                cost: sum.cost,
                doubles: self.doubles.get(customer).copied().unwrap_or(0),
            };
            (customer.clone(), total)
        };
        let mut totals: IndexMap<CustomerId, Total> =
            self.state.customer_totals().iter().map(total).collect();
        totals.sort_keys();
        totals
    }

    /// Offsets of bills that neither the log nor any totals still have, as the first and the one after the last.
    pub fn lost(&self) -> Option<(Offset, Offset)> {
        let oldest = self.oldest?;
        (!self.state.is_complete()).then_some((self.before.min(oldest), oldest))
    }

    /// Totals of the firms, where the venture is closed.
    pub fn closing(&self) -> &[(Arc<str>, u64, u64)] {
        &self.closing
    }
}
