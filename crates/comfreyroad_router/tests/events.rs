//! Compares the catalogue of log events in the docs with the code.

use comfreyroad_router::note::{ALL, Kind};

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// Lower numbers belong to the entry daemon, which has its own test.
const FIRST_NUMBER: u16 = 1000;

/// Number, level and title of each row of the page.
fn rows() -> Vec<(u16, String, String)> {
    let row = |line: &str| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let number = cells.next()?.parse().ok()?;
        Some((number, cells.next()?.to_owned(), cells.next()?.to_owned()))
    };
    let rows = PAGE.lines().filter_map(row);
    rows.filter(|(number, ..)| *number >= FIRST_NUMBER)
        .collect()
}

#[test]
fn the_page_lists_exactly_the_events_of_the_code() {
    let kind = |kind: &&Kind| {
        let level = format!("{:?}", kind.level).to_lowercase();
        (kind.number, level, kind.title.to_owned())
    };
    let code: Vec<_> = ALL.iter().map(kind).collect();
    assert_eq!(rows(), code);
}

#[test]
fn numbers_are_unique_and_ascending() {
    assert!(ALL.windows(2).all(|pair| pair[0].number < pair[1].number));
}
