//! Parses a rules file line by line and collects all faults.

mod customer;
mod fields;
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

use fields::Fields;

use super::{FORMAT, Fault, Rules};

/// Keywords that can start a rule.
const KEYWORDS: [&str; 9] = [
    "format", "firm", "zone", "pool", "version", "route", "service", "customer", "term",
];

/// Parses a file. Returns the rules, and the lines for the positions of later faults.
pub(super) fn file(text: &str) -> Result<(Rules, Vec<Line>), Vec<Fault>> {
    let mut rules = Rules::default();
    let mut faults = Vec::new();
    let lines = lines(text, &mut faults);
    format::require_first(text, &lines, &mut faults);
    for (index, line) in lines.iter().enumerate() {
        if line.keyword.text == "format" {
            if index == 0 {
                format::read(line, &mut rules, &mut faults);
                if rules.format > FORMAT {
                    return Err(format::unsupported(line));
                }
            } else {
                faults.push(
                    line.keyword
                        .fault("a single `format` line, before all other rules"),
                );
            }
        } else {
            read(line, &mut rules, &mut faults);
        }
    }
    // A longer path is more specific, so it is tried first.
    rules
        .services
        .sort_by_key(|service| std::cmp::Reverse(service.path.len()));
    if faults.is_empty() {
        return Ok((rules, lines));
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(faults)
}

/// Whether a file has a newer format than this program reads, so that this program cannot validate it.
pub(super) fn is_newer_format(text: &str) -> bool {
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
            fields.allow_only(&[]);
        }
        "zone" => zone::read(&mut fields, rules),
        "pool" => pool::read(&mut fields, rules),
        "version" => version::read(&mut fields, rules),
        "route" => route::read(&mut fields, rules),
        "service" => service::read(&mut fields, rules),
        "customer" => customer::read(&mut fields, rules),
        "term" => {
            rules.term = fields.time("end");
            fields.no_name();
            fields.allow_only(&["end"]);
        }
        _ => {
            let expected = suggest::expected(&line.keyword.text, &KEYWORDS);
            faults.push(line.keyword.fault(expected));
        }
    }
}
