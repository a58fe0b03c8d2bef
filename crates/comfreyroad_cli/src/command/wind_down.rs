use std::io::Write;
use std::time::SystemTime;

use comfreyroad::record::{Record, Stream};
use comfreyroad::rules::History;

use super::{ledger, status};
use crate::{Client, Entries, Error, Exit, Log, Settings, text};

/// Prints the term, the requests in progress and the closing record.
pub(super) async fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let Some(address) = settings.log else {
        return Ok(Exit::Usage);
    };
    let client = Client::new(settings.deadline)?;
    let log = Log::new(client.clone(), address);
    let (history, closing) = read_rules(&log).await?;
    print_term(&history, out)?;
    let entries = Entries::new(settings);
    let mut exit = Exit::Ok;
    if entries.is_configured() {
        let answers = entries.statuses(&client).await?;
        if answers.iter().any(|(_, status)| status.is_err()) {
            exit = Exit::Unreachable;
        }
        write!(out, "{}", status::table(&answers))?;
        let known = answers
            .iter()
            .filter_map(|(_, status)| status.as_ref().ok());
        let in_flight: u64 = known.filter_map(|status| status.in_flight).sum();
        writeln!(out, "in flight: {in_flight} requests")?;
    }
    let (ledger, _) = ledger::read(&log).await?;
    let sums = closing.as_deref().unwrap_or(ledger.closing());
    if sums.is_empty() {
        writeln!(out, "closing record: none yet")?;
    }
    for (firm, requests, cost) in sums {
        let firm = text::sanitize(firm);
        writeln!(
            out,
            "closing record: {firm}: {requests} requests, {cost} millionths"
        )?;
    }
    Ok(exit)
}

/// Firms with their number of requests and their cost.
type Sums = Vec<(std::sync::Arc<str>, u64, u64)>;

async fn read_rules(log: &Log) -> Result<(History, Option<Sums>), Error> {
    let mut history = History::default();
    let mut closing = None;
    let each = |offset, at, record: Option<&Record>| match record {
        Some(Record::Closing { sums }) => {
            closing.get_or_insert_with(|| sums.clone());
            history.skip(offset);
        }
        Some(record) => {
            history.feed(offset, at, record);
        }
        None => history.skip(offset),
    };
    log.read(Stream::Rules, 0, each).await?;
    Ok((history, closing))
}

fn print_term(history: &History, out: &mut dyn Write) -> Result<(), Error> {
    let Some(rules) = history.in_force() else {
        writeln!(out, "term: no rules are in force")?;
        return Ok(());
    };
    let generation = rules.generation;
    match rules.rules.term {
        Some(end) if end <= SystemTime::now() => {
            writeln!(
                out,
                "term: over since {} (generation {generation})",
                text::timestamp(end)
            )?;
        }
        Some(end) => {
            writeln!(
                out,
                "term: ends {} (generation {generation})",
                text::timestamp(end)
            )?;
        }
        None => writeln!(out, "term: no end is set (generation {generation})")?,
    }
    Ok(())
}
