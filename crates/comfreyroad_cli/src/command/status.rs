use std::io::Write;
use std::net::SocketAddr;

use crate::{Client, Entries, Error, Exit, Settings, Status, text};

const HEAD: [&str; 8] = [
    "ADDRESS",
    "ENTRY",
    "ZONE",
    "PHASE",
    "GENERATION",
    "RULES",
    "CONFIRMED",
    "IN FLIGHT",
];

/// Shows a table of the entries.
pub(super) async fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let client = Client::new(settings.deadline)?;
    let answers = Entries::new(settings).ask(&client).await?;
    let is_whole = answers.iter().all(|(_, status)| status.is_ok());
    write!(out, "{}", table(&answers))?;
    Ok(if is_whole {
        Exit::Ok
    } else {
        Exit::Unreachable
    })
}

/// One row an entry, and a line for each that did not answer.
pub(super) fn table(answers: &[(SocketAddr, Result<Status, Error>)]) -> String {
    let mut rows = vec![HEAD.map(String::from).to_vec()];
    let mut failures = String::new();
    for (address, status) in answers {
        match status {
            Ok(status) => {
                let mut row = vec![address.to_string()];
                row.extend(cells(status));
                rows.push(row);
            }
            Err(error) => failures += &format!("{}\n", text::plain(&error.to_string())),
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
        text::plain(&status.entry),
        text::plain(&status.zone),
        text::plain(&status.phase),
        status.generation.to_string(),
        text::plain(&status.rules),
        number(status.confirmed_age_ms, " ms ago"),
        number(status.in_flight, ""),
    ]
}
