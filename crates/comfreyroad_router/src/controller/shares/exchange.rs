//! Exchange of usage between entries: each reports its own, relays sum their zone and pass on the sums of others.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::Shares;
use super::demand::Demand;
use crate::controller::upstreams::Upstreams;
use crate::frame::{Frame, PoolUsage, ZoneUsage};
use crate::id::{PoolId, ZoneId};

/// Factor on a pool's slots above which a report about its usage is false.
const MAX_OVERLOAD: f64 = 4.0;
/// Maximum number of customers that a frame lists, over all zones and pools, and of those that a report of one zone may list.
pub(super) const MAX_CUSTOMERS_PER_FRAME: usize = 96;

impl Shares {
    /// What customers use through this entry.
    pub(super) fn own_demands(&self) -> IndexMap<PoolId, Demand> {
        let mut demands: IndexMap<PoolId, Demand> = IndexMap::new();
        for ((pool, customer), usage) in &self.own {
            if self.customers.contains(customer) {
                let demand = demands.entry(pool.clone()).or_default();
                demand.add(customer, usage.mean());
            }
        }
        demands
    }

    /// What customers use through the entries of this zone, as far as this relay knows.
    pub(super) fn sum_zone(&self) -> ZoneUsage {
        let mut demands = self.own_demands();
        for report in self.reports.entries().flatten() {
            let demand = demands.entry(report.pool.clone()).or_default();
            demand.add_report(report, &self.customers);
        }
        ZoneUsage {
            zone: self.zone.clone(),
            entries: self.reports.entries().count() as u32 + 1,
            age: Duration::ZERO,
            pools: self.pool_reports(&demands),
        }
    }

    /// What customers use through all entries. Without a sum of this zone only the usage through this entry is known of it.
    pub(super) fn demands(&self, now: Instant, upstreams: &Upstreams) -> IndexMap<PoolId, Demand> {
        let mut demands = IndexMap::new();
        if self.reports.zone(&self.zone).is_none() {
            demands = self.own_demands();
        }
        for zone in self.reports.zones(now) {
            for report in &zone.pools {
                let mut demand = Demand::default();
                demand.add_report(report, &self.customers);
                let slots = f64::from(upstreams.slots(now, &report.pool));
                if demand.total() <= slots * MAX_OVERLOAD {
                    let sum: &mut Demand = demands.entry(report.pool.clone()).or_default();
                    sum.add_report(report, &self.customers);
                }
            }
        }
        demands
    }

    /// Reports that keep a frame with the sums of all zones within its limit.
    pub(super) fn pool_reports(&self, demands: &IndexMap<PoolId, Demand>) -> Vec<PoolUsage> {
        let zones: IndexSet<&ZoneId> = self.fleet.entries.iter().map(|it| &it.zone).collect();
        // The usage through the sender itself takes as much as that of a zone.
        let reports = (zones.len() + 1) * demands.len();
        let most = MAX_CUSTOMERS_PER_FRAME / reports.max(1);
        let report = |(pool, demand): (&PoolId, &Demand)| demand.report(pool, most);
        demands.iter().map(report).collect()
    }

    pub(super) fn on_frame(&mut self, now: Instant, frame: &Frame) {
        let is_near = frame.sender.zone == self.zone && frame.sender.entry != self.entry;
        if is_near && self.fleet.is_relay(&self.entry) {
            self.reports.on_entry(now, frame);
        }
        for report in &frame.zone_usage {
            self.reports.on_zone(now, report);
        }
    }
}
