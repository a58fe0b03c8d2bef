use std::time::{Duration, Instant};

use super::fleet::Cost;

/// What was measured of one fleet.
pub(crate) struct Report {
    entries: usize,
    bytes: usize,
    ages: Vec<Duration>,
    delays: Vec<Duration>,
    rest: Cost,
    span: Duration,
    changes: Vec<Cost>,
}

impl Report {
    pub(crate) fn new(entries: usize, bytes: usize) -> Self {
        Self {
            entries,
            bytes,
            ages: Vec::new(),
            delays: Vec::new(),
            rest: Cost::default(),
            span: Duration::ZERO,
            changes: Vec::new(),
        }
    }

    /// Ages of the confirmation at one moment.
    pub(crate) fn ages(&mut self, ages: Vec<Duration>) {
        self.ages.extend(ages);
    }

    /// What rest cost over a time.
    pub(crate) fn rest(&mut self, cost: Cost, span: Duration) {
        (self.rest, self.span) = (cost, span);
    }

    /// What one change cost, with rest in the same time, and when each entry went by it.
    pub(crate) fn change(&mut self, at: Instant, enacted: Vec<Instant>, cost: Cost) {
        let delay = |enacted: Instant| enacted.saturating_duration_since(at);
        self.delays.extend(enacted.into_iter().map(delay));
        self.changes.push(cost);
    }

    pub(crate) fn print(&mut self) {
        let (entries, seconds) = (self.entries as f64, self.span.as_secs_f64());
        println!("{} entries, rules of {} bytes", self.entries, self.bytes);
        let expected = self.entries * self.changes.len();
        println!("  in force on {} of {expected}", self.delays.len());
        println!("  until in force, ms:  {}", spread(&mut self.delays));
        println!("  age at rest, ms:     {}", spread(&mut self.ages));
        println!("  memory of the process, KB: {}", memory());
        let rest = &self.rest;
        let each = |sum: u64| sum as f64 / entries / seconds;
        println!(
            "  at rest, each second: {:.1} brief frames, {:.0} bytes (most {:.0}), {:.0} us; news in other frames {:.0} bytes; \
             log reads {:.1} a second in all",
            each(rest.frames),
            each(rest.sum()),
            rest.most() as f64 / seconds,
            each(rest.nanos) / 1e3,
            each(rest.news),
            rest.reads as f64 / seconds,
        );
        let more = |pick: fn(&Cost) -> u64| {
            let sum: u64 = self.changes.iter().map(pick).sum();
            (sum as f64 / self.changes.len() as f64 - pick(rest) as f64) / entries
        };
        println!(
            "  each change: {:.1} brief frames, {:.0} bytes, {:.2} texts (most sent by one {}), {:.0} us; from the log {:.0} bytes in all",
            more(|cost| cost.frames),
            more(Cost::sum),
            more(Cost::texts),
            self.changes.iter().map(Cost::most_texts).max().unwrap_or(0),
            more(|cost| cost.nanos) / 1e3,
            more(|cost| cost.log) * entries,
        );
    }
}

/// The most memory that this process has had; empty where the system does not tell.
fn memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    peak.unwrap_or_default().trim().to_owned()
}

fn spread(values: &mut [Duration]) -> String {
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
