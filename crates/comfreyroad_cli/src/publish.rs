use std::time::{Duration, Instant};

use comfreyroad::id::Generation;
use comfreyroad::record::{Record, Stream};
use comfreyroad::rules::{Checked, Draft, History, Verdict};
use compio::time::sleep;

use crate::{Client, Error, Log};

/// Wait before the next try.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A file on its way to the log.
pub struct Publish {
    log: Log,
    deadline: Instant,
    after: Generation,
    record: Record,
    history: History,
    verdict: Option<Verdict>,
}

impl Publish {
    /// A checked file, published by an operator.
    pub fn new(client: &Client, log: Log, by: &str, draft: &Draft<Checked>) -> Self {
        let after = draft.rules().after;
        Self {
            log,
            deadline: client.deadline(),
            after,
            record: Record::Publish {
                by: by.into(),
                after,
                text: draft.text().clone(),
            },
            history: History::default(),
            verdict: None,
        }
    }

    /// The rules as the log has them.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The generation that the file follows.
    pub fn after(&self) -> Generation {
        self.after
    }

    /// What an earlier try with the same file came to, where that is in force.
    pub fn earlier(&self) -> Option<Verdict> {
        let in_force = self.history.in_force()?;
        let Record::Publish { by, after, text } = &self.record else {
            return None;
        };
        let generation = after.saturating_add(1);
        let is_same = in_force.by == *by && in_force.text == *text;
        (is_same && in_force.generation == generation).then_some(Verdict::Accepted { generation })
    }

    /// Reads the log to its end.
    pub async fn catch_up(&mut self) -> Result<(), Error> {
        let Self {
            log,
            record: own,
            history,
            verdict,
            ..
        } = self;
        let from = history.next();
        let each = |offset, at, record: Option<&Record>| {
            let Some(record) = record else {
                history.skip(offset);
                return;
            };
            let found = history.feed(offset, at, record);
            // A try that was not answered can stand on the log beside the next one; one of them is enough.
            let is_accepted = matches!(verdict, Some(Verdict::Accepted { .. }));
            if record == own && !is_accepted {
                *verdict = found;
            }
        };
        log.read(Stream::Rules, from, each).await?;
        Ok(())
    }

    /// Appends until the log has the record, and reads back what it came to.
    pub async fn append(&mut self) -> Result<Verdict, Error> {
        // An equal record that was too early says nothing of this one.
        self.verdict = None;
        let mut has_sent = false;
        loop {
            let appended = self.log.append(Stream::Rules, &self.record).await;
            has_sent |= match &appended {
                Ok(_) => true,
                Err(error) => !error.is_not_taken(),
            };
            let mut failure = appended.err();
            if let Some(error) = failure.take_if(|error| error.is_final()) {
                return Err(error);
            }
            // No answer says nothing of the append, so look before the next one.
            let read = self.catch_up().await;
            if let Some(verdict) = self.verdict.take() {
                return Ok(verdict);
            }
            if let Some(error) = failure.or(read.err())
                && Instant::now() + RETRY_INTERVAL >= self.deadline
            {
                return Err(if has_sent {
                    Error::Unclear(error.into())
                } else {
                    error
                });
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}
