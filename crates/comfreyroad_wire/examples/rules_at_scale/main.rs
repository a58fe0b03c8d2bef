//! Measures what it costs each entry of a fleet to keep the rules confirmed while idle and to distribute a change:
//! `rules_at_scale ENTRIES BYTES [LOSS-PERCENT [ZONES-WITHOUT-LOG]]`.
//!
//! Real entries and real codecs run in one process on a simulated clock; the network and the log are simulated. Only the
//! cost of the rules is counted: brief frames, the news in other frames, and reads of the rules stream.

mod fleet;
mod report;

use std::time::Duration;

use fleet::Fleet;
use report::Report;

/// Time until the fleet reaches a steady state.
const WARM_UP: Duration = Duration::from_secs(6);
/// Duration of the idle measurement and of the measurement after each change.
const MEASUREMENT: Duration = Duration::from_secs(5);
/// Number of changes of the rules.
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
    fleet.inject_faults(loss, without_log);
    fleet.publish();
    fleet.run_for(WARM_UP);
    let mut report = Report::new(entries, bytes);
    fleet.take_cost();
    for _ in 0..50 {
        fleet.run_for(MEASUREMENT / 50);
        report.ages(fleet.ages());
    }
    report.idle(fleet.take_cost(), MEASUREMENT);
    for _ in 0..CHANGES {
        let at = fleet.publish();
        fleet.run_for(MEASUREMENT);
        report.change(at, fleet.activations(), fleet.take_cost());
    }
    report.print();
}
