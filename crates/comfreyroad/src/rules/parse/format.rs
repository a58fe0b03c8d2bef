use super::{Line, Word};
use crate::rules::{FORMAT, Fault, Rules};

const EXPECTED: &str = "`format 1 after N` as the first rule";

/// Checks that the format line is the first rule.
pub(super) fn require_first(text: &str, lines: &[Line], faults: &mut Vec<Fault>) {
    match lines.first() {
        Some(line) if line.keyword.text == "format" => {}
        Some(line) => faults.push(line.keyword.fault(EXPECTED)),
        None => faults.push(Word::new(text.lines().count().max(1), 1, "").fault(EXPECTED)),
    }
}

/// Reads `format 1 after N`.
pub(super) fn read(line: &Line, rules: &mut Rules, faults: &mut Vec<Fault>) {
    let mut names = line.names.iter();
    let mut next = || names.next().unwrap_or(&line.end);
    let (format, after, generation) = (next(), next(), next());
    match format.text.parse() {
        Ok(number) if number > 0 => rules.format = number,
        _ => faults.push(format.fault("a format number")),
    }
    if after.text != "after" {
        faults.push(after.fault("`after`"));
    }
    match generation.text.parse() {
        Ok(number) => rules.after = number,
        Err(_) => faults.push(generation.fault("the number of the preceding generation")),
    }
    if let Some(word) = names
        .next()
        .or_else(|| line.fields.first().map(|(key, _)| key))
    {
        faults.push(word.fault("the end of the rule"));
    }
}

/// The only fault of a file in a newer format. This program cannot validate the other lines.
pub(super) fn unsupported(line: &Line) -> Vec<Fault> {
    vec![line.name().fault(format!("format {FORMAT} or older"))]
}
