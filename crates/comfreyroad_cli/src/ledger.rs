use std::sync::Arc;

use comfreyroad::id::{CustomerId, Offset};
use comfreyroad::record::{Bill, Key, Record};
use indexmap::{IndexMap, IndexSet};

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

impl Total {
    fn add(&mut self, requests: u64, cost: u64) {
        self.requests = self.requests.saturating_add(requests);
        self.cost = self.cost.saturating_add(cost);
    }
}

/// The ledger stream, read in order.
///
/// Totals stand for all bills before an offset, so bills before it are not counted again; their keys are kept to tell
/// doubles.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    oldest: Option<Offset>,
    before: Offset,
    sums: IndexMap<CustomerId, Total>,
    bills: Vec<(Offset, Bill)>,
    closing: Vec<(Arc<str>, u64, u64)>,
}

impl Ledger {
    /// Takes the next record.
    pub fn feed(&mut self, offset: Offset, record: &Record) {
        self.oldest.get_or_insert(offset);
        match record {
            Record::Bill(bill) => self.bills.push((offset, bill.clone())),
            Record::Totals { before, sums } if *before > self.before => {
                self.before = *before;
                self.sums.clear();
                for (customer, requests, cost) in sums {
                    self.sums
                        .entry(customer.clone())
                        .or_default()
                        .add(*requests, *cost);
                }
            }
            Record::Closing { sums } if self.closing.is_empty() => self.closing.clone_from(sums),
            _ => {}
        }
    }

    /// Totals by customer.
    pub fn totals(&self) -> IndexMap<CustomerId, Total> {
        let mut totals = self.sums.clone();
        let mut seen: IndexSet<&Key> = IndexSet::new();
        for (offset, bill) in &self.bills {
            let is_first = seen.insert(&bill.key);
            let total = totals.entry(bill.key.customer.clone()).or_default();
            if !is_first {
                total.doubles += 1;
            } else if *offset >= self.before {
                total.add(1, bill.cost);
            }
        }
        totals.sort_keys();
        totals
    }

    /// Offsets of bills that neither the log nor any totals still have, as the first and the one after the last.
    pub fn lost(&self) -> Option<(Offset, Offset)> {
        let oldest = self.oldest?;
        (self.before < oldest).then_some((self.before, oldest))
    }

    /// Totals of the firms, where the venture is closed.
    pub fn closing(&self) -> &[(Arc<str>, u64, u64)] {
        &self.closing
    }
}
