use std::io::Write;

use comfreyroad::event::LogEntry;
use comfreyroad::record::Stream;

use crate::{Client, Error, Exit, Ledger, Log, Settings, text};

const HEADER: [&str; 4] = [
    "CUSTOMER",
    "REQUESTS",
    "COST (MILLIONTHS)",
    "DUPLICATES NOT COUNTED",
];

/// Prints what each customer has been billed.
pub(super) async fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let Some(address) = settings.log else {
        return Ok(Exit::Usage);
    };
    let log = Log::new(Client::new(settings.deadline)?, address);
    let (ledger, undecoded) = read(&log).await?;
    let mut rows = vec![HEADER.map(String::from).to_vec()];
    for (customer, total) in ledger.totals() {
        if settings
            .customer
            .as_deref()
            .is_none_or(|only| *only == *customer)
        {
            let numbers = [total.requests, total.cost, total.duplicates];
            let mut row = vec![text::sanitize(&customer)];
            row.extend(numbers.map(|number| number.to_string()));
            rows.push(row);
        }
    }
    write!(out, "{}", text::table(&rows))?;
    if let Some((first, end)) = ledger.missing_range() {
        writeln!(
            out,
            "incomplete: offsets {first} to {end} have expired and no totals cover them"
        )?;
    }
    if undecoded > 0 {
        writeln!(
            out,
            "incomplete: {undecoded} records cannot be decoded by this program"
        )?;
    }
    let is_complete = ledger.missing_range().is_none() && undecoded == 0;
    Ok(if is_complete { Exit::Ok } else { Exit::Refused })
}

/// Reads the whole ledger stream and counts the records that cannot be decoded.
pub(super) async fn read(log: &Log) -> Result<(Ledger, u64), Error> {
    let mut ledger = Ledger::default();
    let mut undecoded = 0;
    let each = |offset, at, record: Option<&_>| {
        undecoded += u64::from(record.is_none());
        ledger.apply(&LogEntry {
            offset,
            at,
            record: record.cloned(),
        });
    };
    log.read(Stream::Ledger, 0, each).await?;
    Ok((ledger, undecoded))
}
