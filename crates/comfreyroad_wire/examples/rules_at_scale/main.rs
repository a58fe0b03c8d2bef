//! What a change of the rules, and rest, cost each entry of a fleet:
//! `rules_at_scale ENTRIES BYTES [LOSS-PERCENT [ZONES-WITHOUT-LOG]]`.
//!
//! Real entries and real codecs in one process, with a clock driven by hand; the network and the log are modelled. Only
//! what concerns the rules is counted: brief frames, the news in other frames, and reads of the rules' stream.

mod fleet;
mod report;

use std::time::Duration;

use fleet::Fleet;
use report::Report;

/// Time for the fleet to settle.
const SETTLE: Duration = Duration::from_secs(6);
/// Time at rest, and time after each change.
const SPAN: Duration = Duration::from_secs(5);
/// Changes.
const CHANGES: u64 = 5;

fn main() {
    let mut words = std::env::args().skip(1).map(|word| word.parse::<usize>());
    let mut next = || words.next().and_then(Result::ok);
    let (Some(entries), Some(bytes)) = (next(), next()) else {
        println!("usage: rules_at_scale ENTRIES BYTES-OF-RULES [LOSS-PERCENT [ZONES-WITHOUT-LOG]]");
        return;
    };
    let (loss, without_log) = (next().unwrap_or(0), next().unwrap_or(0));
    println!("{loss} percent of frames lost, {without_log} zones without log");
    let mut fleet = Fleet::new(entries, bytes);
    fleet.break_down(loss, without_log);
    fleet.publish();
    fleet.run_for(SETTLE);
    let mut report = Report::new(entries, bytes);
    fleet.clear();
    for _ in 0..50 {
        fleet.run_for(SPAN / 50);
        report.ages(fleet.ages());
    }
    report.rest(fleet.clear(), SPAN);
    for _ in 0..CHANGES {
        let at = fleet.publish();
        fleet.run_for(SPAN);
        report.change(at, fleet.enacted(), fleet.clear());
    }
    report.print();
}
