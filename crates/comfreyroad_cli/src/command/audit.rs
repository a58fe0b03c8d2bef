use std::io::{self, Write};
use std::sync::Arc;
use std::time::SystemTime;

use comfreyroad::id::Offset;
use comfreyroad::record::{Record, Stream};
use comfreyroad::rules::{History, Rules, Verdict};

use crate::{Client, Error, Exit, Log, Settings, text};

/// Prints the audit trail of the rules stream.
pub(super) async fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let Some(address) = settings.log else {
        return Ok(Exit::Usage);
    };
    let log = Log::new(Client::new(settings.deadline)?, address);
    // The changes of a publish depend on all earlier records, so the whole stream is read.
    let mut trail = Vec::new();
    let each = |offset, at, record: Option<&Record>| trail.push((offset, at, record.cloned()));
    log.read(Stream::Rules, 0, each).await?;
    let mut history = initial_history(&trail);
    for (offset, at, record) in &trail {
        let before = history.in_force().map(|rules| rules.rules.clone());
        let verdict = match record {
            Some(record) => history.feed(*offset, *at, record),
            None => {
                history.skip(*offset);
                None
            }
        };
        if *offset >= settings.from {
            let row = Row {
                at: *at,
                offset: *offset,
                before,
                history: &history,
            };
            row.print(record.as_ref(), verdict.as_ref(), out)?;
        }
    }
    Ok(Exit::Ok)
}

type Trail = [(Offset, SystemTime, Option<Record>)];

/// History at the start of a trail. Where older records have expired, it starts from the newest checkpoint of an
/// earlier offset, so that the verdicts are the same as for a reader of the whole stream.
fn initial_history(trail: &Trail) -> History {
    let Some((start, ..)) = trail.first() else {
        return History::default();
    };
    let checkpoints = trail.iter().filter_map(|(_, _, record)| match record {
        Some(record @ Record::Checkpoint { offset, .. }) if offset < start => {
            Some((*offset, record))
        }
        _ => None,
    });
    let newest = checkpoints.max_by_key(|(offset, _)| *offset);
    newest.map_or_else(History::default, |(_, record)| {
        History::from_checkpoint(*start, record)
    })
}

/// Context of one record of the trail.
struct Row<'a> {
    at: SystemTime,
    offset: Offset,
    before: Option<Arc<Rules>>,
    history: &'a History,
}

impl Row<'_> {
    fn print(
        &self,
        record: Option<&Record>,
        verdict: Option<&Verdict>,
        out: &mut dyn Write,
    ) -> io::Result<()> {
        write!(out, "{:>6}  {}  ", self.offset, text::timestamp(self.at))?;
        let Some(record) = record else {
            return writeln!(out, "a record that this program cannot decode");
        };
        match record {
            Record::Publish { by, after, .. } => {
                write!(out, "publish by {} after {after}: ", text::sanitize(by))?;
                self.print_verdict(verdict, out)
            }
            Record::Checkpoint { generation, by, .. } => {
                writeln!(
                    out,
                    "checkpoint of generation {generation} by {}",
                    text::sanitize(by)
                )
            }
            Record::Hold {
                version,
                generation,
                reason,
            } => {
                let (version, reason) = (text::sanitize(version), text::sanitize(reason));
                writeln!(
                    out,
                    "hold of {version} under generation {generation}: {reason}"
                )
            }
            Record::Gone { writer, cut } => {
                writeln!(
                    out,
                    "entry {} gone, {} requests cut",
                    text::sanitize(&writer.entry),
                    cut.len()
                )?;
                for key in cut {
                    let (customer, request) =
                        (text::sanitize(&key.customer), text::sanitize(&key.request));
                    writeln!(out, "          cut: {customer} {request}")?;
                }
                Ok(())
            }
            Record::Closing { .. } => writeln!(out, "closing record"),
            _ => writeln!(out, "another record"),
        }
    }

    fn print_verdict(&self, verdict: Option<&Verdict>, out: &mut dyn Write) -> io::Result<()> {
        match verdict {
            Some(Verdict::Accepted { generation }) => {
                writeln!(out, "accepted as generation {generation}")?;
                self.print_changes(out)
            }
            Some(Verdict::Stale { in_force, by }) => {
                let by = text::sanitize(by);
                writeln!(out, "refused, generation {in_force} by {by} was in force")
            }
            Some(Verdict::Faulty(faults)) => {
                writeln!(out, "refused, {} faults", faults.len())?;
                for fault in faults {
                    writeln!(out, "          {}", text::sanitize(&fault.to_string()))?;
                }
                Ok(())
            }
            None => writeln!(out, "not judged"),
        }
    }

    fn print_changes(&self, out: &mut dyn Write) -> io::Result<()> {
        let Some(rules) = self.history.in_force() else {
            return Ok(());
        };
        let before = self.before.clone().unwrap_or_default();
        for change in before.diff(&rules.rules) {
            writeln!(out, "          {}", text::sanitize(&change.to_string()))?;
        }
        Ok(())
    }
}
