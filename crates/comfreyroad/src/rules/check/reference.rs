use super::of;
use crate::rules::parse::{Line, Word};
use crate::rules::{Fault, PoolKind, Rules};

/// Customers of known firms.
pub(super) fn firms(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in of(lines, "customer") {
        let firm = line.place("firm");
        if !rules.firms.iter().any(|known| **known == *firm.text) {
            faults.push(firm.fault("a firm that has a line"));
        }
    }
}

/// Versions on pools of engines, services on pools of services.
pub(super) fn pools(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in of(lines, "version") {
        pool(rules, line, PoolKind::Engine, faults);
    }
    for line in of(lines, "service") {
        pool(rules, line, PoolKind::Service, faults);
    }
}

fn pool(rules: &Rules, line: &Line, kind: PoolKind, faults: &mut Vec<Fault>) {
    let word = line.place("pool");
    let Some(pool) = rules.pools.get(word.text.as_str()) else {
        faults.push(word.fault("a pool that has a line"));
        return;
    };
    if pool.kind != kind {
        let expected = match kind {
            PoolKind::Engine => "a pool with `kind=engine`",
            PoolKind::Service => "a pool with `kind=service`",
        };
        faults.push(word.fault(expected));
    }
}

/// Routes to known models.
pub(super) fn models(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in of(lines, "route") {
        for word in line.place("models").list() {
            if !has_model(rules, &word.text) {
                faults.push(word.fault("a model that has a version"));
            }
        }
    }
}

/// Customers with known models and versions.
pub(super) fn allowed(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in of(lines, "customer") {
        for word in line.place("allow").list() {
            if !is_known(rules, &word) {
                faults.push(word.fault("a model or version that has a line"));
            }
        }
    }
}

fn is_known(rules: &Rules, word: &Word) -> bool {
    match word.text.strip_suffix("@*") {
        Some(model) => has_model(rules, model),
        None => rules.versions.contains_key(word.text.as_str()),
    }
}

fn has_model(rules: &Rules, model: &str) -> bool {
    rules
        .versions
        .values()
        .any(|version| *version.model == *model)
}
