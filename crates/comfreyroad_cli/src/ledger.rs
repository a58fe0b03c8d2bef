use std::sync::Arc;
use std::time::Instant;

use comfreyroad::controller::ledger;
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::id::{CustomerId, Offset};
use comfreyroad::record::{REQUEST_ID_LIFETIME, Record, Stream};
use indexmap::IndexMap;

/// Total of the bills of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// Number of requests billed.
    pub requests: u64,
    /// Cost of these requests, in millionths of the venture's currency.
    pub cost: u64,
    /// Number of bills that repeat the key of an earlier bill and are not counted.
    pub duplicates: u64,
}

/// Replays the ledger stream with the same accounting as the entries.
#[derive(Debug)]
pub struct Ledger {
    state: ledger::State,
    oldest: Option<Offset>,
    /// Bills before this offset are covered by a totals record.
    covered: Offset,
    duplicates: IndexMap<CustomerId, u64>,
    closing: Vec<(Arc<str>, u64, u64)>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            state: ledger::State::new(REQUEST_ID_LIFETIME),
            oldest: None,
            covered: 0,
            duplicates: IndexMap::new(),
            closing: Vec::new(),
        }
    }
}

impl Ledger {
    /// Applies the next record of the stream.
    pub fn apply(&mut self, entry: &LogEntry) {
        let offset = entry.offset;
        self.state.begin_page(&Page {
            stream: Stream::Ledger,
            requested_at: Instant::now(),
            from: offset,
            oldest: *self.oldest.get_or_insert(offset),
            next: offset + 1,
            entries: vec![entry.clone()],
        });
        let is_duplicate = self.state.feed(entry);
        match &entry.record {
            Some(Record::Bill(bill)) if is_duplicate => {
                *self
                    .duplicates
                    .entry(bill.key.customer.clone())
                    .or_default() += 1;
            }
            Some(Record::Totals { before, .. }) => self.covered = self.covered.max(*before),
            Some(Record::Closing { sums }) if self.closing.is_empty() => {
                self.closing.clone_from(sums);
            }
            _ => {}
        }
    }

    /// Totals by customer, sorted by customer id.
    pub fn totals(&self) -> IndexMap<CustomerId, Total> {
        let total = |(customer, sum): (&CustomerId, &ledger::Total)| {
            let total = Total {
                requests: sum.requests,
                cost: sum.cost,
                duplicates: self.duplicates.get(customer).copied().unwrap_or(0),
            };
            (customer.clone(), total)
        };
        let mut totals: IndexMap<CustomerId, Total> =
            self.state.customer_totals().iter().map(total).collect();
        totals.sort_keys();
        totals
    }

    /// Range of expired offsets that no totals record covers: the first offset and the one after the last.
    pub fn missing_range(&self) -> Option<(Offset, Offset)> {
        let oldest = self.oldest?;
        (!self.state.is_complete()).then_some((self.covered.min(oldest), oldest))
    }

    /// Totals by firm from the closing record; empty until the venture is closed.
    pub fn closing(&self) -> &[(Arc<str>, u64, u64)] {
        &self.closing
    }
}
