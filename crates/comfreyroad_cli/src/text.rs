//! Formatting of text for terminals.

use std::time::{Duration, SystemTime};

/// End of the year 9999, the last with four digits, in seconds since the Unix epoch.
const MAX_UNIX_SECONDS: u64 = 253_402_300_799;

/// Formats a time in UTC, as RFC 3339.
pub(crate) fn timestamp(time: SystemTime) -> String {
    let since = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    if since.as_secs() > MAX_UNIX_SECONDS {
        return "after the year 9999".into();
    }
    humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + since).to_string()
}

/// Converts milliseconds since the Unix epoch to a time.
pub(crate) fn from_millis(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

/// Replaces the control characters of untrusted text, except tabs, with `?`.
pub(crate) fn sanitize(text: &str) -> String {
    let is_safe = |char: char| !char.is_control() || char == '\t';
    text.chars()
        .map(|char| if is_safe(char) { char } else { '?' })
        .collect()
}

/// Formats rows as a table with aligned columns.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text += line.join("  ").trim_end();
        text += "\n";
    }
    text
}
