use std::time::{Duration, Instant};

use comfreyroad::id::Generation;
use comfreyroad::record::{Record, Stream};
use comfreyroad::rules::{Checked, Draft, History, Verdict};
use compio::time::sleep;

use crate::{Client, Error, Log};

/// Delay between two attempts to append.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Publishes a rules file on the log and tracks the verdict on it.
pub struct Publication {
    log: Log,
    deadline: Instant,
    after: Generation,
    record: Record,
    history: History,
    verdict: Option<Verdict>,
}

impl Publication {
    /// Prepares a checked rules file, to be published under the name of an operator.
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

    /// History of the rules, as read from the log so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Generation on which the file is based.
    pub fn after(&self) -> Generation {
        self.after
    }

    /// Verdict on an earlier publication of the same file by the same operator, if its rules are in force.
    pub fn earlier_verdict(&self) -> Option<Verdict> {
        let in_force = self.history.in_force()?;
        let Record::Publish { by, after, text } = &self.record else {
            return None;
        };
        let generation = after.saturating_add(1);
        let is_same = in_force.by == *by && in_force.text == *text;
        (is_same && in_force.generation == generation).then_some(Verdict::Accepted { generation })
    }

    /// Reads the log to its end and notes the verdict on this publication.
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
            // An attempt without a response may have been stored as well as the retry: an accepted one counts.
            let is_accepted = matches!(verdict, Some(Verdict::Accepted { .. }));
            if record == own && !is_accepted {
                *verdict = found;
            }
        };
        log.read(Stream::Rules, from, each).await?;
        Ok(())
    }

    /// Appends the record, with retries until it is on the log, and returns the verdict on it.
    pub async fn append(&mut self) -> Result<Verdict, Error> {
        // An equal record that is already on the log, published too early, must not decide this one.
        self.verdict = None;
        let mut may_be_stored = false;
        loop {
            let appended = self.log.append(Stream::Rules, &self.record).await;
            may_be_stored |= match &appended {
                Ok(_) => true,
                Err(error) => !error.is_not_executed(),
            };
            let mut failure = appended.err();
            if let Some(error) = failure.take_if(|error| error.is_permanent()) {
                return Err(error);
            }
            // Without a response the record may be stored all the same, so read the log before the next attempt.
            let read = self.catch_up().await;
            if let Some(verdict) = self.verdict.take() {
                return Ok(verdict);
            }
            if let Some(error) = failure.or(read.err())
                && Instant::now() + RETRY_INTERVAL >= self.deadline
            {
                return Err(if may_be_stored {
                    Error::Unclear(error.into())
                } else {
                    error
                });
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}
