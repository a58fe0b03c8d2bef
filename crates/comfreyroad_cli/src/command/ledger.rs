use std::io::Write;

use comfreyroad::event::LogEntry;
use comfreyroad::record::Stream;

use crate::{Client, Error, Exit, Ledger, Log, Settings, text};

const HEAD: [&str; 4] = [
    "CUSTOMER",
    "REQUESTS",
    "COST (MILLIONTHS)",
    "DOUBLES NOT COUNTED",
];

/// Shows what each customer has been billed.
pub(super) async fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let Some(address) = settings.log else {
        return Ok(Exit::Usage);
    };
    let log = Log::new(Client::new(settings.deadline)?, address);
    let (ledger, unread) = read(&log).await?;
    let mut rows = vec![HEAD.map(String::from).to_vec()];
    for (customer, total) in ledger.totals() {
        if settings
            .customer
            .as_deref()
            .is_none_or(|only| *only == *customer)
        {
            let numbers = [total.requests, total.cost, total.doubles];
            let mut row = vec![text::plain(&customer)];
            row.extend(numbers.map(|number| number.to_string()));
            rows.push(row);
        }
    }
    write!(out, "{}", text::table(&rows))?;
    if let Some((first, end)) = ledger.lost() {
        writeln!(
            out,
            "not whole: offsets {first} to {end} have expired and no totals cover them"
        )?;
    }
    if unread > 0 {
        writeln!(
            out,
            "not whole: {unread} records cannot be read by this program"
        )?;
    }
    let is_whole = ledger.lost().is_none() && unread == 0;
    Ok(if is_whole { Exit::Ok } else { Exit::Refused })
}

/// Reads the whole ledger, and counts what cannot be read.
pub(super) async fn read(log: &Log) -> Result<(Ledger, u64), Error> {
    let mut ledger = Ledger::default();
    let mut unread = 0;
    let each = |offset, at, record: Option<&_>| {
        unread += u64::from(record.is_none());
        ledger.feed(&LogEntry {
            offset,
            at,
            record: record.cloned(),
        });
    };
    log.read(Stream::Ledger, 0, each).await?;
    Ok((ledger, unread))
}
