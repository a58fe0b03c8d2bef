use super::lines_of;
use crate::rules::parse::{Line, Word};
use crate::rules::{Fault, PoolKind, Rules};

/// Checks that the firms of customers are declared.
pub(super) fn firms(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in lines_of(lines, "customer") {
        let firm = line.word_or_name("firm");
        if !rules.firms.iter().any(|known| **known == *firm.text) {
            faults.push(firm.fault("a firm declared in this file"));
        }
    }
}

/// Checks that versions run on pools of engines, and services on pools of services.
pub(super) fn pools(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in lines_of(lines, "version") {
        pool(rules, line, PoolKind::Engine, faults);
    }
    for line in lines_of(lines, "service") {
        pool(rules, line, PoolKind::Service, faults);
    }
}

fn pool(rules: &Rules, line: &Line, kind: PoolKind, faults: &mut Vec<Fault>) {
    let word = line.word_or_name("pool");
    let Some(pool) = rules.pools.get(word.text.as_str()) else {
        faults.push(word.fault("a pool declared in this file"));
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

/// Checks that the models of routes are declared.
pub(super) fn models(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in lines_of(lines, "route") {
        for word in line.word_or_name("models").list() {
            if !has_model(rules, &word.text) {
                faults.push(word.fault("a model with a declared version"));
            }
        }
    }
}

/// Checks that the models and versions of customers are declared.
pub(super) fn allowed(rules: &Rules, lines: &[Line], faults: &mut Vec<Fault>) {
    for line in lines_of(lines, "customer") {
        for word in line.word_or_name("allow").list() {
            if !is_declared(rules, &word) {
                faults.push(word.fault("a model or version declared in this file"));
            }
        }
    }
}

fn is_declared(rules: &Rules, word: &Word) -> bool {
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
