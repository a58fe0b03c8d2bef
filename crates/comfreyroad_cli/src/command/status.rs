use std::io::Write;
use std::net::SocketAddr;

use crate::{Client, Entries, Error, Exit, Settings, Status, text};

const HEADER: [&str; 8] = [
    "ADDRESS",
    "ENTRY",
    "ZONE",
    "PHASE",
    "GENERATION",
    "RULES",
    "CONFIRMED",
    "IN FLIGHT",
];

/// Prints a table of the entries.
pub(super) async fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let client = Client::new(settings.deadline)?;
    let answers = Entries::new(settings).statuses(&client).await?;
    let is_complete = answers.iter().all(|(_, status)| status.is_ok());
    write!(out, "{}", table(&answers))?;
    Ok(if is_complete {
        Exit::Ok
    } else {
        Exit::Unreachable
    })
}

/// Formats one row per entry, and one error line per entry that did not respond.
pub(super) fn table(answers: &[(SocketAddr, Result<Status, Error>)]) -> String {
    let mut rows = vec![HEADER.map(String::from).to_vec()];
    let mut failures = String::new();
    for (address, status) in answers {
        match status {
            Ok(status) => {
                let mut row = vec![address.to_string()];
                row.extend(cells(status));
                rows.push(row);
            }
            Err(error) => failures += &format!("{}\n", text::sanitize(&error.to_string())),
        }
    }
    text::table(&rows) + &failures
}

fn cells(status: &Status) -> [String; 7] {
    let number = |number: Option<u64>, unit| match number {
        Some(number) => format!("{number}{unit}"),
        None => "-".into(),
    };
    [
        text::sanitize(&status.entry),
        text::sanitize(&status.zone),
        text::sanitize(&status.phase),
        status.generation.to_string(),
        text::sanitize(&status.rules),
        number(status.confirmed_age_ms, " ms ago"),
        number(status.in_flight, ""),
    ]
}
