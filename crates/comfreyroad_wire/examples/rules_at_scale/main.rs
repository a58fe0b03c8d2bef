//! What a change of the rules, and rest, cost each entry of a fleet: `rules_at_scale ENTRIES BYTES`.
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
    let (Some(Ok(entries)), Some(Ok(bytes))) = (words.next(), words.next()) else {
        println!("usage: rules_at_scale ENTRIES BYTES-OF-RULES");
        return;
    };
    let mut fleet = Fleet::new(entries, bytes);
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
