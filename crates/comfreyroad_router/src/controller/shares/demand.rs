use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};

use crate::frame::PoolUsage;
use crate::id::{CustomerId, PoolId};

/// The unit of reports, as a fraction of a slot.
const REPORT_UNIT: f64 = 0.1;

/// The slots of one pool that customers use.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    customers: IndexMap<CustomerId, f64>,
    // What customers that are not listed use together.
    rest: f64,
}

impl Demand {
    pub(super) fn add(&mut self, customer: &CustomerId, slots: f64) {
        *self.customers.entry(customer.clone()).or_default() += slots;
    }

    /// Adds a report. Customers that are not known here count with the rest.
    pub(super) fn add_report(&mut self, report: &PoolUsage, known: &IndexSet<CustomerId>) {
        for (customer, usage) in &report.largest {
            let slots = f64::from(*usage) * REPORT_UNIT;
            if known.contains(customer) {
                self.add(customer, slots);
            } else {
                self.rest += slots;
            }
        }
        self.rest += f64::from(report.rest) * REPORT_UNIT;
    }

    /// A report that lists a limited number of customers.
    pub(super) fn report(&self, pool: &PoolId, max_customers: usize) -> PoolUsage {
        let unit = |slots: f64| (slots / REPORT_UNIT).round() as u32;
        let largest = self.customers.iter();
        let mut largest: Vec<(CustomerId, u32)> = largest
            .map(|(id, slots)| (id.clone(), unit(*slots)))
            .collect();
        largest.sort_by_key(|(_, usage)| Reverse(*usage));
        let others = largest.split_off(max_customers.min(largest.len()));
        let others: u32 = others.iter().map(|(_, usage)| usage).sum();
        PoolUsage {
            pool: pool.clone(),
            largest,
            rest: unit(self.rest).saturating_add(others),
        }
    }

    pub(super) fn customers(&self) -> impl Iterator<Item = (&CustomerId, f64)> {
        self.customers.iter().map(|(id, slots)| (id, *slots))
    }

    /// The slots that all customers use.
    pub(super) fn total(&self) -> f64 {
        self.rest + self.customers.values().sum::<f64>()
    }

    /// The max-min fair share of a customer in slots: those that use less get what they use, and the others divide what is left
    /// equally. Infinite if there is room for all.
    pub(super) fn fair_share(&self, capacity: f64) -> f64 {
        let mut left = capacity - self.rest;
        let mut usages: Vec<f64> = self.customers.values().copied().collect();
        usages.sort_by(f64::total_cmp);
        for (index, usage) in usages.iter().enumerate() {
            let share = left.max(0.0) / (usages.len() - index) as f64;
            if *usage > share {
                return share;
            }
            left -= usage;
        }
        f64::INFINITY
    }

    /// Whether customers that use no more than a share use at least a number of slots together.
    pub(super) fn has_others_within(&self, share: f64, slots: f64) -> bool {
        let within = self.customers.values().filter(|it| **it <= share);
        self.rest + within.sum::<f64>() >= slots
    }
}
