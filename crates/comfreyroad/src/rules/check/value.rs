use indexmap::IndexMap;

use super::of;
use crate::rules::parse::Line;
use crate::rules::{Fault, Rules};

/// What the shares of a model's versions add up to, in percent.
const WHOLE: u64 = 100;

/// At least one zone.
pub(super) fn zones(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    if let (true, Some(line)) = (rules.zones.is_empty(), lines.last()) {
        faults.push(line.end.fault("a `zone` line"));
    }
}

/// Cold upstreams bear something, and no more than warm ones.
pub(super) fn bounds(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in of(lines, "pool") {
        let Some(pool) = rules.pools.get(line.name().text.as_str()) else {
            continue;
        };
        if pool.cold == 0 {
            faults.push(line.place("cold").fault("1 or more"));
        } else if pool.cold > pool.bears {
            faults.push(
                line.place("cold")
                    .fault(format!("at most {}, as `bears=` says", pool.bears)),
            );
        }
    }
}

/// Quality from 0 to 1.
pub(super) fn parts(lines: &[Line], faults: &mut Vec<Fault>) {
    for word in lines.iter().filter_map(|line| line.field("quality")) {
        let part: Option<f64> = word.text.parse().ok();
        if !part.is_some_and(|part| (0.0..=1.0).contains(&part)) {
            faults.push(word.fault("a number from 0 to 1"));
        }
    }
}

/// Every customer gets something of a crowded upstream.
pub(super) fn weights(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in of(lines, "customer") {
        let customer = rules.customers.get(line.name().text.as_str());
        if customer.is_some_and(|customer| customer.weight == 0) {
            faults.push(line.place("weight").fault("1 or more"));
        }
    }
}

/// Shares of each model's active versions make a whole.
pub(super) fn shares(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    let mut models: IndexMap<&str, (u64, &Line)> = IndexMap::new();
    for line in of(lines, "version") {
        let Some(version) = rules.versions.get(line.name().text.as_str()) else {
            continue;
        };
        if !version.withdrawn {
            let (sum, last) = models.entry(&version.model).or_insert((0, line));
            *sum += u64::from(version.share);
            *last = line;
        }
    }
    for (model, (sum, line)) in models {
        if sum != WHOLE {
            let expected = format!("shares of {model} that add up to {WHOLE}, not {sum}");
            faults.push(line.place("share").fault(expected));
        }
    }
}
