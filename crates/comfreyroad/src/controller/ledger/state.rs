use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use indexmap::IndexMap;

use super::Total;
use crate::controller::coverage::Coverage;
use crate::event::{LogEntry, Page};
use crate::id::{CustomerId, Offset};
use crate::record::{Bill, Key, Record};

/// What each customer owes, computed by reading the ledger stream in order.
///
/// Of several bills with one key the highest counts, so a caller who got half an answer and logged_at the totals one pays for
/// the whole answer once. A bill is compared with the bills of its key within the horizon before it, by the log's
/// timestamps. The amount that it adds depends only on that part of the stream, so readers that start late reach the same
/// totals: they start from a totals record and add the bills after it.
#[derive(Debug)]
pub struct State {
    horizon: Duration,
    coverage: Coverage,
    recent_bills: IndexMap<Key, Vec<RecentBill>>,
    by_age: VecDeque<(SystemTime, Key)>,
    totals: IndexMap<CustomerId, Total>,
    gap: Option<Gap>,
}

/// A bill within the horizon.
#[derive(Clone, Copy, Debug)]
struct RecentBill {
    at: SystemTime,
    cost: u64,
}

/// The bills read since a gap in the stream, while the totals before the gap are unknown.
#[derive(Clone, Debug)]
struct Gap {
    /// Every bill from this offset on was read.
    from: Offset,
    charges: VecDeque<Charge>,
}

/// The amount that a bill adds to its customer's total.
#[derive(Clone, Debug)]
struct Charge {
    at: SystemTime,
    offset: Offset,
    customer: CustomerId,
    amount: Total,
    is_certain: bool,
}

impl State {
    /// Creates an empty state.
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon,
            coverage: Coverage::default(),
            recent_bills: IndexMap::new(),
            by_age: VecDeque::new(),
            totals: IndexMap::new(),
            gap: None,
        }
    }

    /// Records the extent of a page; called before its records are fed.
    pub fn begin_page(&mut self, page: &Page) {
        if page.oldest > self.coverage.next() {
            // Bills were dropped from the log before they were read. Only a totals record can replace them.
            self.totals.clear();
            self.gap = Some(Gap {
                from: page.oldest,
                charges: VecDeque::new(),
            });
        }
        self.coverage.add_page(page);
    }

    /// Applies the next record. Returns whether it is a bill that adds nothing.
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

    /// Returns the highest cost of the bills with a key within the horizon.
    pub fn highest_cost(&self, key: &Key) -> Option<u64> {
        let bills = self.recent_bills.get(key)?;
        bills.iter().map(|bill| bill.cost).max()
    }

    /// Returns what each customer owes according to the records read so far.
    pub fn customer_totals(&self) -> &IndexMap<CustomerId, Total> {
        &self.totals
    }

    /// Whether the totals include every bill since the stream began.
    pub fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Returns a totals record up to the last record read, from which later readers can start; `None` if the totals are
    /// incomplete.
    pub fn totals_record(&self) -> Option<Record> {
        let sum = |(customer, total): (&CustomerId, &Total)| {
            (customer.clone(), total.requests, total.cost)
        };
        let mut sums: Vec<_> = self.totals.iter().map(sum).collect();
        sums.sort();
        self.is_complete().then_some(Record::Totals {
            before: self.coverage.next(),
            sums,
        })
    }

    /// Number of bill keys in memory.
    pub fn len(&self) -> usize {
        self.recent_bills.len()
    }

    /// Whether no bill is in memory.
    pub fn is_empty(&self) -> bool {
        self.recent_bills.is_empty()
    }

    fn on_bill(&mut self, offset: Offset, at: SystemTime, bill: &Bill) -> bool {
        let highest = self.highest_cost(&bill.key);
        let amount = Total {
            requests: u64::from(highest.is_none()),
            cost: bill.cost.saturating_sub(highest.unwrap_or(0)),
        };
        let recent = RecentBill {
            at,
            cost: bill.cost,
        };
        self.recent_bills
            .entry(bill.key.clone())
            .or_default()
            .push(recent);
        self.by_age.push_back((at, bill.key.clone()));
        let customer = bill.key.customer.clone();
        self.totals.entry(customer.clone()).or_default().add(amount);
        let is_certain = self.covers_horizon(at);
        if let Some(gap) = &mut self.gap {
            gap.charges.push_back(Charge {
                at,
                offset,
                customer,
                amount,
                is_certain,
            });
        }
        amount == Total::default()
    }

    /// Whether every record within the horizon before a bill was read.
    fn covers_horizon(&self, at: SystemTime) -> bool {
        let from = at.checked_sub(self.horizon);
        from.is_none_or(|from| self.coverage.covers(from))
    }

    /// Adopts a totals record if the totals are incomplete and the amount of every bill after the record is certain.
    fn on_totals(&mut self, at: SystemTime, before: Offset, sums: &[(CustomerId, u64, u64)]) {
        let Some(gap) = &self.gap else {
            return;
        };
        let after = || gap.charges.iter().filter(|charge| charge.offset >= before);
        let has_read_all = before >= gap.from && self.covers_horizon(at);
        if !has_read_all || !after().all(|charge| charge.is_certain) {
            return;
        }
        let mut totals: IndexMap<CustomerId, Total> = IndexMap::new();
        for (customer, requests, cost) in sums {
            let (requests, cost) = (*requests, *cost);
            let total = totals.entry(customer.clone()).or_default();
            total.add(Total { requests, cost });
        }
        for charge in after() {
            let total = totals.entry(charge.customer.clone()).or_default();
            total.add(charge.amount);
        }
        self.totals = totals;
        self.gap = None;
    }

    /// Removes bills that are at least a horizon older than the record at `at`.
    fn expire(&mut self, at: SystemTime) {
        let horizon = self.horizon;
        let is_expired = |logged_at: SystemTime| logged_at + horizon <= at;
        while let Some((_, key)) = self
            .by_age
            .pop_front_if(|(logged_at, _)| is_expired(*logged_at))
        {
            let Some(bills) = self.recent_bills.get_mut(&key) else {
                continue;
            };
            bills.retain(|bill| !is_expired(bill.at));
            if bills.is_empty() {
                self.recent_bills.swap_remove(&key);
            }
        }
        let Some(gap) = &mut self.gap else {
            return;
        };
        while let Some(charge) = gap.charges.pop_front_if(|charge| is_expired(charge.at)) {
            gap.from = charge.offset + 1;
        }
    }
}
