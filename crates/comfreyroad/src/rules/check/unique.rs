use indexmap::{IndexMap, IndexSet};

use super::of;
use crate::rules::Fault;
use crate::rules::parse::Line;

/// Each name once for each keyword, and one term.
pub(super) fn names(lines: &[Line], faults: &mut Vec<Fault>) {
    let mut seen = IndexMap::new();
    for line in lines {
        let name = line.name();
        let first = *seen
            .entry((line.keyword.text.as_str(), name.text.as_str()))
            .or_insert(name.line);
        if first != name.line {
            let keyword = &line.keyword.text;
            faults.push(name.fault(format!("another {keyword}, as line {first} has this one")));
        }
    }
}

/// Each path for one service only.
pub(super) fn paths(lines: &[Line], faults: &mut Vec<Fault>) {
    let mut seen = IndexSet::new();
    for line in of(lines, "service") {
        let path = line.place("path");
        if !seen.insert(path.text.trim_end_matches('/')) {
            faults.push(path.fault("a path that no other service has"));
        }
    }
}

/// Each key for one customer only.
pub(super) fn keys(lines: &[Line], faults: &mut Vec<Fault>) {
    let mut seen = IndexSet::new();
    for line in of(lines, "customer") {
        for key in line.place("key").list() {
            if !seen.insert(key.text.to_ascii_lowercase()) {
                faults.push(key.fault("a key that stands once in the file"));
            }
        }
    }
}
