use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use comfreyroad::id::Generation;
use comfreyroad::rules::{History, Verdict};
use compio::time::sleep;

use super::check;
use super::watch::Watch;
use crate::{Client, Entries, Error, Exit, Log, Publication, Settings, text};

/// Interval between two polls of the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Publishes a rules file and waits until its rules are in force on all entries.
pub(super) async fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let (Some(address), Some(by), Some(path)) =
        (settings.log, &settings.by, settings.arguments.first())
    else {
        return Ok(Exit::Usage);
    };
    let Some(draft) = check::check_file(Path::new(path), out)? else {
        return Ok(Exit::Refused);
    };
    let client = Client::new(settings.deadline)?;
    let log = Log::new(client.clone(), address);
    let mut publication = Publication::new(&client, log, by, &draft);
    publication.catch_up().await?;
    let sent = Instant::now();
    let verdict = match publication.earlier_verdict() {
        Some(verdict) => verdict,
        None if publication.history().generation() != publication.after() => {
            print_stale(&publication, out)?;
            return Ok(Exit::Refused);
        }
        None => publication.append().await?,
    };
    match verdict {
        Verdict::Accepted { generation } => {
            writeln!(out, "accepted as generation {generation}")?;
            wait_until_in_force(settings, &client, generation, sent, out).await
        }
        Verdict::Stale { in_force, by } => {
            let by = text::sanitize(&by);
            writeln!(
                out,
                "refused: lost to generation {in_force}, published by {by}{}",
                publish_time(publication.history(), in_force)
            )?;
            Ok(Exit::Refused)
        }
        Verdict::Faulty(faults) => {
            for fault in &faults {
                writeln!(out, "refused: {}", text::sanitize(&fault.to_string()))?;
            }
            Ok(Exit::Refused)
        }
    }
}

fn print_stale(publication: &Publication, out: &mut dyn Write) -> Result<(), Error> {
    let (history, after) = (publication.history(), publication.after());
    let generation = history.generation();
    match history.in_force() {
        Some(rules) => {
            let by = text::sanitize(&rules.by);
            let when = publish_time(history, generation);
            writeln!(
                out,
                "refused: generation {generation} is in force, published by {by}{when}; the file follows {after}"
            )?;
        }
        None => writeln!(
            out,
            "refused: nothing is in force yet; the file follows {after}, not 0"
        )?,
    }
    Ok(())
}

fn publish_time(history: &History, generation: Generation) -> String {
    match history.published_at() {
        Some(time) if history.generation() == generation => {
            format!(" at {}", text::timestamp(time))
        }
        _ => String::new(),
    }
}

/// Waits until the generation is in force on each entry that is not gone.
async fn wait_until_in_force(
    settings: &Settings,
    client: &Client,
    generation: Generation,
    sent: Instant,
    out: &mut dyn Write,
) -> Result<Exit, Error> {
    let entries = Entries::new(settings);
    if !entries.is_configured() {
        writeln!(out, "not waited for: neither --entries nor --vms is given")?;
        return Ok(Exit::Ok);
    }
    let mut watch = Watch::new(generation);
    loop {
        let answers = entries.statuses(client).await;
        let is_last = Instant::now() + POLL_INTERVAL >= client.deadline();
        match answers {
            Ok(answers) => watch.update(answers, is_last),
            // The VM list may become reachable again before the deadline.
            Err(_) if !is_last => {}
            Err(error) => return Err(error),
        }
        if watch.is_done() || is_last {
            watch.print(sent, out)?;
            return Ok(if watch.is_done() {
                Exit::Ok
            } else {
                Exit::Refused
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}
