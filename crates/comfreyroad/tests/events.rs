//! The catalogue of log events in the docs, against the code.

use comfreyroad::note::ALL;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// Events from here on are the router's, whose own test holds them.
const ROUTER: u16 = 1000;

/// Number, level and title of each row of the page.
fn rows() -> Vec<(u16, String, String)> {
    let row = |line: &str| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let number = cells.next()?.parse().ok()?;
        Some((number, cells.next()?.to_owned(), cells.next()?.to_owned()))
    };
    let rows = PAGE.lines().filter_map(row);
    rows.filter(|(number, ..)| *number < ROUTER).collect()
}

#[test]
fn the_page_lists_each_event_of_the_code_and_no_other() {
    let kind = |kind: &&comfreyroad::note::Kind| {
        let level = format!("{:?}", kind.level).to_lowercase();
        (kind.number, level, kind.title.to_owned())
    };
    let code: Vec<_> = ALL.iter().map(kind).collect();
    assert_eq!(rows(), code);
}

#[test]
fn numbers_rise_and_none_stands_twice() {
    assert!(ALL.windows(2).all(|pair| pair[0].number < pair[1].number));
}
