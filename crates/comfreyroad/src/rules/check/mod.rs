//! Checks the lines of a rules file against each other.

mod reference;
mod unique;
mod value;

use super::parse::Line;
use super::{Fault, Rules};

/// Checks a file. On failure, returns all faults, sorted by position.
pub(super) fn file(rules: &Rules, lines: &[Line]) -> Result<(), Vec<Fault>> {
    let mut faults = Vec::new();
    unique::names(lines, &mut faults);
    unique::paths(lines, &mut faults);
    unique::keys(lines, &mut faults);
    reference::firms(rules, lines, &mut faults);
    reference::pools(rules, lines, &mut faults);
    reference::models(rules, lines, &mut faults);
    reference::allowed(rules, lines, &mut faults);
    value::zones(rules, lines, &mut faults);
    value::capacities(rules, lines, &mut faults);
    value::qualities(lines, &mut faults);
    value::weights(rules, lines, &mut faults);
    value::shares(rules, lines, &mut faults);
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(faults)
}

/// The lines that start with a keyword.
fn lines_of<'a>(lines: &'a [Line], keyword: &'a str) -> impl Iterator<Item = &'a Line> {
    lines
        .iter()
        .filter(move |line| line.keyword.text == keyword)
}
