use std::time::{Duration, Instant};

use comfreyroad_net::client::{Error, Reader};
use comfreyroad_router::answer::Fault;
use comfreyroad_wire::sse::{Event, Splitter};

/// An upstream's stream of events.
#[derive(Debug)]
pub(super) struct Events {
    reader: Reader,
    splitter: Splitter,
    // Events up to this one were delivered from an earlier run.
    after: Option<u64>,
    first: Option<Instant>,
    last: Option<Instant>,
    count: u32,
}

impl Events {
    pub(super) fn new(reader: Reader, after: Option<u64>) -> Self {
        Self {
            reader,
            splitter: Splitter::default(),
            after,
            first: None,
            last: None,
            count: 0,
        }
    }

    /// The next event, or none at the clean end. Waits until `deadline`.
    pub(super) async fn next(&mut self, deadline: Instant) -> Result<Option<Event>, Fault> {
        loop {
            let event = self.splitter.next_event().map_err(|error| {
                log::debug!("stream: {error}");
                Fault::Broken
            })?;
            if let Some(event) = event {
                if self.is_old(&event) {
                    continue;
                }
                self.count();
                return Ok(Some(event));
            }
            match self.reader.chunk(deadline).await {
                Ok(Some(chunk)) => self.splitter.feed(&chunk),
                Ok(None) if self.splitter.has_rest() => return Err(Fault::Truncated),
                Ok(None) => return Ok(None),
                Err(error) => return Err(fault(&error, self.count > 0)),
            }
        }
    }

    /// Whether the caller has an event from an earlier run.
    fn is_old(&self, event: &Event) -> bool {
        event
            .id
            .zip(self.after)
            .is_some_and(|(id, after)| id <= after)
    }

    fn count(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.count += 1;
    }

    /// Time from the request's sending to the first event.
    pub(super) fn first_after(&self, sent: Instant) -> Option<Duration> {
        let first = self.first?;
        Some(first.saturating_duration_since(sent))
    }

    /// Time per event after the first.
    pub(super) fn pace(&self) -> Option<Duration> {
        let gaps = self.count.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let (first, last) = self.first.zip(self.last)?;
        Some(last.saturating_duration_since(first) / gaps)
    }
}

fn fault(error: &Error, has_begun: bool) -> Fault {
    match (error.is_deadline(), has_begun) {
        (true, false) => Fault::TimedOut,
        (true, true) => Fault::Stalled,
        (false, _) => {
            log::debug!("stream: {error}");
            Fault::Broken
        }
    }
}
