//! Reads a rules file line by line and collects every fault.

mod customer;
mod field;
mod format;
mod line;
mod pool;
mod route;
mod service;
mod suggest;
mod version;
mod word;
mod zone;

pub(super) use line::Line;
pub(super) use word::Word;

use field::Fields;

use super::{FORMAT, Fault, Rules};

/// Keywords that can start a rule.
const KEYWORDS: [&str; 9] = [
    "format", "firm", "zone", "pool", "version", "route", "service", "customer", "term",
];

/// The rules of a file, and its lines for the faults of later checks.
pub(super) fn file(text: &str) -> Result<(Rules, Vec<Line>), Vec<Fault>> {
    let mut rules = Rules::default();
    let mut faults = Vec::new();
    let lines = lines(text, &mut faults);
    format::first(text, &lines, &mut faults);
    for (index, line) in lines.iter().enumerate() {
        if line.keyword.text == "format" {
            if index == 0 {
                format::read(line, &mut rules, &mut faults);
                if rules.format > FORMAT {
                    return Err(format::newer(line));
                }
            } else {
                faults.push(
                    line.keyword
                        .fault("one format line, before all other rules"),
                );
            }
        } else {
            read(line, &mut rules, &mut faults);
        }
    }
    // A longer path is more exact, so it is tried first.
    rules
        .services
        .sort_by_key(|service| std::cmp::Reverse(service.path.len()));
    if faults.is_empty() {
        return Ok((rules, lines));
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(faults)
}

/// Whether a file is in a format that this program does not know, so that it cannot say whether the file has faults.
pub(super) fn is_newer(text: &str) -> bool {
    let lines = lines(text, &mut Vec::new());
    let mut rules = Rules::default();
    let first = lines.first().filter(|line| line.keyword.text == "format");
    if let Some(line) = first {
        format::read(line, &mut rules, &mut Vec::new());
    }
    rules.format > FORMAT
}

fn lines(text: &str, faults: &mut Vec<Fault>) -> Vec<Line> {
    let numbered = text.lines().enumerate();
    numbered
        .filter_map(|(index, text)| Line::split(index + 1, text, faults))
        .collect()
}

fn read(line: &Line, rules: &mut Rules, faults: &mut Vec<Fault>) {
    let mut fields = Fields::new(line, faults);
    match line.keyword.text.as_str() {
        "firm" => {
            rules.firms.extend(fields.name("a firm"));
            fields.only(&[]);
        }
        "zone" => zone::read(&mut fields, rules),
        "pool" => pool::read(&mut fields, rules),
        "version" => version::read(&mut fields, rules),
        "route" => route::read(&mut fields, rules),
        "service" => service::read(&mut fields, rules),
        "customer" => customer::read(&mut fields, rules),
        "term" => {
            rules.term = fields.time("end");
            fields.unnamed();
            fields.only(&["end"]);
        }
        _ => {
            let expected = suggest::among(&line.keyword.text, &KEYWORDS);
            faults.push(line.keyword.fault(expected));
        }
    }
}
