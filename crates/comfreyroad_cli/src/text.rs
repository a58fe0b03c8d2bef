//! Text for terminals.

use std::time::{Duration, SystemTime};

/// Latest time that has a four-digit year, in seconds since the Unix epoch.
const LAST_SECOND: u64 = 253_402_300_799;

/// A time in UTC.
pub(crate) fn moment(time: SystemTime) -> String {
    let since = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    if since.as_secs() > LAST_SECOND {
        return "after the year 9999".into();
    }
    humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + since).to_string()
}

/// Milliseconds since the Unix epoch as a time.
pub(crate) fn from_millis(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

/// Text from elsewhere, made safe for a terminal.
pub(crate) fn plain(text: &str) -> String {
    let is_safe = |char: char| !char.is_control() || char == '\t';
    text.chars()
        .map(|char| if is_safe(char) { char } else { '?' })
        .collect()
}

/// Rows with columns of equal width.
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
