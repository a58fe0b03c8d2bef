use indexmap::{IndexMap, IndexSet};

use super::lines_of;
use crate::rules::Fault;
use crate::rules::parse::Line;

/// Checks that no two lines with the same keyword have the same name, and that there is only one term.
pub(super) fn names(lines: &[Line], faults: &mut Vec<Fault>) {
    let mut seen = IndexMap::new();
    for line in lines {
        let name = line.name();
        let first = *seen
            .entry((line.keyword.text.as_str(), name.text.as_str()))
            .or_insert(name.line);
        if first != name.line {
            let keyword = &line.keyword.text;
            faults.push(name.fault(format!(
                "a {keyword} that line {first} does not already declare"
            )));
        }
    }
}

/// Checks that no two services have the same path.
pub(super) fn paths(lines: &[Line], faults: &mut Vec<Fault>) {
    let mut seen = IndexSet::new();
    for line in lines_of(lines, "service") {
        let path = line.word_or_name("path");
        if !seen.insert(path.text.trim_end_matches('/')) {
            faults.push(path.fault("a path that no other service has"));
        }
    }
}

/// Checks that no key appears twice.
pub(super) fn keys(lines: &[Line], faults: &mut Vec<Fault>) {
    let mut seen = IndexSet::new();
    for line in lines_of(lines, "customer") {
        for key in line.word_or_name("key").list() {
            if !seen.insert(key.text.to_ascii_lowercase()) {
                faults.push(key.fault("a key that appears only once in the file"));
            }
        }
    }
}
