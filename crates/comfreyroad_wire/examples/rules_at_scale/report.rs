use std::time::{Duration, Instant};

use super::fleet::Cost;

/// Measurements of one fleet.
pub(crate) struct Report {
    entries: usize,
    bytes: usize,
    ages: Vec<Duration>,
    delays: Vec<Duration>,
    idle: Cost,
    idle_time: Duration,
    changes: Vec<Cost>,
}

impl Report {
    pub(crate) fn new(entries: usize, bytes: usize) -> Self {
        Self {
            entries,
            bytes,
            ages: Vec::new(),
            delays: Vec::new(),
            idle: Cost::default(),
            idle_time: Duration::ZERO,
            changes: Vec::new(),
        }
    }

    /// Adds the times since the last confirmation, sampled at one moment.
    pub(crate) fn ages(&mut self, ages: Vec<Duration>) {
        self.ages.extend(ages);
    }

    /// Sets the cost of an idle fleet over a duration.
    pub(crate) fn idle(&mut self, cost: Cost, idle_time: Duration) {
        (self.idle, self.idle_time) = (cost, idle_time);
    }

    /// Adds the cost of one change, which includes the idle cost over the same duration, and the times at which entries
    /// activated it.
    pub(crate) fn change(&mut self, at: Instant, activations: Vec<Instant>, cost: Cost) {
        let delay = |activated: Instant| activated.saturating_duration_since(at);
        self.delays.extend(activations.into_iter().map(delay));
        self.changes.push(cost);
    }

    pub(crate) fn print(&mut self) {
        let (entries, seconds) = (self.entries as f64, self.idle_time.as_secs_f64());
        println!("{} entries, rules of {} bytes", self.entries, self.bytes);
        let expected = self.entries * self.changes.len();
        println!("  in force on {} of {expected}", self.delays.len());
        println!(
            "  until in force, ms:  {}",
            format_percentiles(&mut self.delays)
        );
        println!(
            "  confirmation age while idle, ms: {}",
            format_percentiles(&mut self.ages)
        );
        println!("  memory of the process, KB: {}", peak_memory());
        let idle = &self.idle;
        let per_entry_second = |sum: u64| sum as f64 / entries / seconds;
        println!(
            "  idle, per entry and second: {:.1} brief frames, {:.0} bytes (max {:.0}), {:.0} us; news in other frames {:.0} bytes; \
             log reads {:.1} per second in total",
            per_entry_second(idle.frames),
            per_entry_second(idle.total_bytes()),
            idle.max_bytes() as f64 / seconds,
            per_entry_second(idle.nanos) / 1e3,
            per_entry_second(idle.news),
            idle.reads as f64 / seconds,
        );
        let per_entry_change = |pick: fn(&Cost) -> u64| {
            let sum: u64 = self.changes.iter().map(pick).sum();
            (sum as f64 / self.changes.len() as f64 - pick(idle) as f64) / entries
        };
        println!(
            "  extra per entry and change: {:.1} brief frames, {:.0} bytes, {:.2} texts (max sent by one {}), {:.0} us; from the log {:.0} bytes in total",
            per_entry_change(|cost| cost.frames),
            per_entry_change(Cost::total_bytes),
            per_entry_change(Cost::total_texts),
            self.changes.iter().map(Cost::max_texts).max().unwrap_or(0),
            per_entry_change(|cost| cost.nanos) / 1e3,
            per_entry_change(|cost| cost.log) * entries,
        );
    }
}

/// Peak resident memory of this process; empty where the system does not report it.
fn peak_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    peak.unwrap_or_default().trim().to_owned()
}

fn format_percentiles(values: &mut [Duration]) -> String {
    values.sort_unstable();
    let at = |part: f64| {
        let index = ((values.len().max(1) - 1) as f64 * part) as usize;
        values
            .get(index)
            .map_or(0.0, |value| value.as_secs_f64() * 1e3)
    };
    format!(
        "p50 {:.0}  p99 {:.0}  p100 {:.0}",
        at(0.5),
        at(0.99),
        at(1.0)
    )
}
