use indexmap::IndexMap;

use super::lines_of;
use crate::rules::parse::Line;
use crate::rules::{Fault, Rules};

/// Sum of the shares of the versions of a model, in percent.
const TOTAL_SHARE_PERCENT: u64 = 100;

/// Checks that there is at least one zone.
pub(super) fn zones(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    if let (true, Some(line)) = (rules.zones.is_empty(), lines.last()) {
        faults.push(line.end.fault("a `zone` line"));
    }
}

/// Checks that the capacity of cold upstreams is neither zero nor above that of warm ones.
pub(super) fn capacities(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in lines_of(lines, "pool") {
        let Some(pool) = rules.pools.get(line.name().text.as_str()) else {
            continue;
        };
        if pool.cold_capacity == 0 {
            faults.push(line.word_or_name("cold").fault("1 or more"));
        } else if pool.cold_capacity > pool.warm_capacity {
            faults.push(line.word_or_name("cold").fault(format!(
                "at most {}, the value of `bears=`",
                pool.warm_capacity
            )));
        }
    }
}

/// Checks that qualities are in the range from 0 to 1.
pub(super) fn qualities(lines: &[Line], faults: &mut Vec<Fault>) {
    for word in lines.iter().filter_map(|line| line.field("quality")) {
        let quality: Option<f64> = word.text.parse().ok();
        if !quality.is_some_and(|quality| (0.0..=1.0).contains(&quality)) {
            faults.push(word.fault("a number from 0 to 1"));
        }
    }
}

/// Checks that no customer has the weight 0, which would give it no share of an overloaded upstream.
pub(super) fn weights(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in lines_of(lines, "customer") {
        let customer = rules.customers.get(line.name().text.as_str());
        if customer.is_some_and(|customer| customer.weight == 0) {
            faults.push(line.word_or_name("weight").fault("1 or more"));
        }
    }
}

/// Checks that the shares of the active versions of each model add up to 100 percent.
pub(super) fn shares(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    let mut models: IndexMap<&str, (u64, &Line)> = IndexMap::new();
    for line in lines_of(lines, "version") {
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
        if sum != TOTAL_SHARE_PERCENT {
            let expected =
                format!("shares of {model} that add up to {TOTAL_SHARE_PERCENT}, not {sum}");
            faults.push(line.word_or_name("share").fault(expected));
        }
    }
}
