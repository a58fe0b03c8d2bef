use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use indexmap::IndexMap;

use super::BilledTotal;
use crate::controller::coverage::Coverage;
use crate::event::{LogEntry, Page};
use crate::id::{CustomerId, Offset};
use crate::record::{Bill, Key, Record};

/// The ledger stream, read in order: what each customer owes.
///
/// Of the bills with one key the highest counts, so a caller who got half an answer and then the whole pays for the
/// whole once. A bill is held against those of its key within a horizon before it, by the log's own time. What it adds
/// is a function of that part of the stream alone, so readers that start late come to the same sums: they take over
/// totals, and add the bills after these.
#[derive(Debug)]
pub struct LedgerState {
    horizon: Duration,
    coverage: Coverage,
    bills: IndexMap<Key, Vec<Seen>>,
    by_age: VecDeque<(SystemTime, Key)>,
    sums: IndexMap<CustomerId, BilledTotal>,
    loose: Option<Loose>,
}

/// A bill that was read.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: SystemTime,
    cost: u64,
}

/// Bills that come after a gap, while the sums before it are not known.
#[derive(Clone, Debug)]
struct Loose {
    /// Offset from which on all were read.
    from: Offset,
    bills: VecDeque<Addition>,
}

/// What a bill adds.
#[derive(Clone, Debug)]
struct Addition {
    at: SystemTime,
    offset: Offset,
    customer: CustomerId,
    sum: BilledTotal,
    is_sure: bool,
}

impl LedgerState {
    /// Nothing read yet.
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon,
            coverage: Coverage::default(),
            bills: IndexMap::new(),
            by_age: VecDeque::new(),
            sums: IndexMap::new(),
            loose: None,
        }
    }

    /// Takes note of a page, before its records are fed.
    pub fn begin_page(&mut self, page: &Page) {
        if page.oldest > self.coverage.next() {
            // Bills were dropped unread; only totals can make up for them.
            self.sums.clear();
            self.loose = Some(Loose {
                from: page.oldest,
                bills: VecDeque::new(),
            });
        }
        self.coverage.read(page);
    }

    /// Takes the next record; says whether it is a bill that adds nothing.
    pub fn feed(&mut self, entry: &LogEntry) -> bool {
        self.expire(entry.at);
        match &entry.record {
            Some(Record::Bill(bill)) => self.on_bill(entry.offset, entry.at, bill),
            Some(Record::Totals { before, sums }) => {
                self.on_totals(entry.at, *before, sums);
                false
            }
            _ => false,
        }
    }

    /// The highest bill with a key, as far as it counts against a new one.
    pub fn highest_cost(&self, key: &Key) -> Option<u64> {
        let seen = self.bills.get(key)?;
        seen.iter().map(|seen| seen.cost).max()
    }

    /// What each customer owes by the part of the log that was read.
    pub fn customer_totals(&self) -> &IndexMap<CustomerId, BilledTotal> {
        &self.sums
    }

    /// Whether the sums count every bill there ever was.
    pub fn is_complete(&self) -> bool {
        self.loose.is_none()
    }

    /// The totals up to the last record read, for those who start later; `None` where they are not known.
    pub fn totals_record(&self) -> Option<Record> {
        let sum = |(customer, sum): (&CustomerId, &BilledTotal)| {
            (customer.clone(), sum.requests, sum.cost)
        };
        let mut sums: Vec<_> = self.sums.iter().map(sum).collect();
        sums.sort();
        self.is_complete().then_some(Record::Totals {
            before: self.coverage.next(),
            sums,
        })
    }

    /// Keys kept in memory.
    pub fn len(&self) -> usize {
        self.bills.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.bills.is_empty()
    }

    fn on_bill(&mut self, offset: Offset, at: SystemTime, bill: &Bill) -> bool {
        let highest = self.highest_cost(&bill.key);
        let sum = BilledTotal {
            requests: u64::from(highest.is_none()),
            cost: bill.cost.saturating_sub(highest.unwrap_or(0)),
        };
        let seen = Seen {
            at,
            cost: bill.cost,
        };
        self.bills.entry(bill.key.clone()).or_default().push(seen);
        self.by_age.push_back((at, bill.key.clone()));
        let customer = bill.key.customer.clone();
        self.sums.entry(customer.clone()).or_default().add(sum);
        let is_sure = self.sees_horizon(at);
        if let Some(loose) = &mut self.loose {
            loose.bills.push_back(Addition {
                at,
                offset,
                customer,
                sum,
                is_sure,
            });
        }
        sum == BilledTotal::default()
    }

    /// Whether every bill was read that a bill of a moment is held against.
    fn sees_horizon(&self, at: SystemTime) -> bool {
        let from = at.checked_sub(self.horizon);
        from.is_none_or(|from| self.coverage.covers(from))
    }

    /// Takes totals over, where the sums are not known and every bill after these is counted rightly.
    fn on_totals(&mut self, at: SystemTime, before: Offset, sums: &[(CustomerId, u64, u64)]) {
        let Some(loose) = &self.loose else { return };
        let after = || loose.bills.iter().filter(|bill| bill.offset >= before);
        let has_read_all = before >= loose.from && self.sees_horizon(at);
        if !has_read_all || !after().all(|bill| bill.is_sure) {
            return;
        }
        let mut whole: IndexMap<CustomerId, BilledTotal> = IndexMap::new();
        for (customer, requests, cost) in sums {
            let (requests, cost) = (*requests, *cost);
            let sum = whole.entry(customer.clone()).or_default();
            sum.add(BilledTotal { requests, cost });
        }
        for bill in after() {
            let sum = whole.entry(bill.customer.clone()).or_default();
            sum.add(bill.sum);
        }
        self.sums = whole;
        self.loose = None;
    }

    /// Forgets what is a horizon older than a record.
    fn expire(&mut self, at: SystemTime) {
        let horizon = self.horizon;
        let is_old = |then: SystemTime| then + horizon <= at;
        while let Some((_, key)) = self.by_age.pop_front_if(|(then, _)| is_old(*then)) {
            let Some(seen) = self.bills.get_mut(&key) else {
                continue;
            };
            seen.retain(|seen| !is_old(seen.at));
            if seen.is_empty() {
                self.bills.swap_remove(&key);
            }
        }
        let Some(loose) = &mut self.loose else { return };
        while let Some(bill) = loose.bills.pop_front_if(|bill| is_old(bill.at)) {
            loose.from = bill.offset + 1;
        }
    }
}
