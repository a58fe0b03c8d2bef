use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use comfreyroad::id::Generation;
use comfreyroad::rules::{History, Verdict};
use compio::time::sleep;

use super::check;
use super::watch::Watch;
use crate::{Client, Entries, Error, Exit, Log, Publish, Settings, text};

/// Wait between two looks at the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Publishes a file and waits until it is in force everywhere.
pub(super) async fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let (Some(address), Some(by), Some(path)) =
        (settings.log, &settings.by, settings.words.first())
    else {
        return Ok(Exit::Usage);
    };
    let Some(draft) = check::file(Path::new(path), out)? else {
        return Ok(Exit::Refused);
    };
    let client = Client::new(settings.deadline)?;
    let log = Log::new(client.clone(), address);
    let mut publish = Publish::new(&client, log, by, &draft);
    publish.catch_up().await?;
    let sent = Instant::now();
    let verdict = match publish.earlier() {
        Some(verdict) => verdict,
        None if publish.history().generation() != publish.after() => {
            stale(&publish, out)?;
            return Ok(Exit::Refused);
        }
        None => publish.append().await?,
    };
    match verdict {
        Verdict::Accepted { generation } => {
            writeln!(out, "accepted as generation {generation}")?;
            wait(settings, &client, generation, sent, out).await
        }
        Verdict::Stale { in_force, by } => {
            let by = text::plain(&by);
            writeln!(
                out,
                "refused: lost to generation {in_force}, published by {by}{}",
                when(publish.history(), in_force)
            )?;
            Ok(Exit::Refused)
        }
        Verdict::Faulty(faults) => {
            for fault in &faults {
                writeln!(out, "refused: {}", text::plain(&fault.to_string()))?;
            }
            Ok(Exit::Refused)
        }
    }
}

fn stale(publish: &Publish, out: &mut dyn Write) -> Result<(), Error> {
    let (history, after) = (publish.history(), publish.after());
    let generation = history.generation();
    match history.in_force() {
        Some(rules) => {
            let by = text::plain(&rules.by);
            let when = when(history, generation);
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

fn when(history: &History, generation: Generation) -> String {
    match history.published_at() {
        Some(time) if history.generation() == generation => format!(" at {}", text::moment(time)),
        _ => String::new(),
    }
}

/// Waits until each entry goes by a generation or has left.
async fn wait(
    settings: &Settings,
    client: &Client,
    generation: Generation,
    sent: Instant,
    out: &mut dyn Write,
) -> Result<Exit, Error> {
    let entries = Entries::new(settings);
    if !entries.is_known() {
        writeln!(out, "not waited for: neither --entries nor --vms is given")?;
        return Ok(Exit::Ok);
    }
    let mut watch = Watch::new(generation);
    loop {
        let answers = entries.ask(client).await;
        let is_last = Instant::now() + POLL_INTERVAL >= client.deadline();
        match answers {
            Ok(answers) => watch.update(answers, is_last),
            // The VM list may come back.
            Err(_) if !is_last => {}
            Err(error) => return Err(error),
        }
        if watch.is_done() || is_last {
            watch.show(sent, out)?;
            return Ok(if watch.is_done() {
                Exit::Ok
            } else {
                Exit::Refused
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}
