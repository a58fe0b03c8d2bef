//! Compares the catalogue of log events in the docs with the code.

use comfreyroad::note::ALL;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// The first event number of the router, whose events are checked by a test of that crate.
const FIRST_ROUTER_EVENT: u16 = 1000;

/// Number, level and title of each row of the page.
fn rows() -> Vec<(u16, String, String)> {
    let row = |line: &str| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let number = cells.next()?.parse().ok()?;
        Some((number, cells.next()?.to_owned(), cells.next()?.to_owned()))
    };
    let rows = PAGE.lines().filter_map(row);
    rows.filter(|(number, ..)| *number < FIRST_ROUTER_EVENT)
        .collect()
}

#[test]
fn the_page_lists_exactly_the_events_of_the_code() {
    let kind = |kind: &&comfreyroad::note::Kind| {
        let level = format!("{:?}", kind.level).to_lowercase();
        (kind.number, level, kind.title.to_owned())
    };
    let code: Vec<_> = ALL.iter().map(kind).collect();
    assert_eq!(rows(), code);
}

#[test]
fn event_numbers_are_strictly_ascending() {
    assert!(ALL.windows(2).all(|pair| pair[0].number < pair[1].number));
}
