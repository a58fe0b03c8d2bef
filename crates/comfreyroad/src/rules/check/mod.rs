//! Holds the lines of a rules file against each other.

mod reference;
mod unique;
mod value;

use super::parse::Line;
use super::{Fault, Rules};

/// Every disagreement between the lines, in their order.
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
    value::bounds(rules, lines, &mut faults);
    value::parts(lines, &mut faults);
    value::weights(rules, lines, &mut faults);
    value::shares(rules, lines, &mut faults);
    if faults.is_empty() {
        return Ok(());
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(faults)
}

/// The lines that start with a keyword.
fn of<'a>(lines: &'a [Line], keyword: &'a str) -> impl Iterator<Item = &'a Line> {
    lines
        .iter()
        .filter(move |line| line.keyword.text == keyword)
}
