use std::time::{Duration, Instant};

use comfreyroad_net::client::{Error, Reader};
use comfreyroad_router::answer::Fault;
use comfreyroad_wire::sse::{Event, Splitter};

/// Reads the event stream of an upstream's response.
#[derive(Debug)]
pub(super) struct Events {
    reader: Reader,
    splitter: Splitter,
    // Last event that the caller already has; events up to this one are skipped.
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

    /// Waits for the next event until `deadline`; `None` at the regular end of the stream.
    pub(super) async fn next(&mut self, deadline: Instant) -> Result<Option<Event>, Fault> {
        loop {
            let event = self.splitter.next_event().map_err(|error| {
                log::debug!("reading an event stream failed: {error}");
                Fault::Broken
            })?;
            if let Some(event) = event {
                if self.is_delivered(&event) {
                    continue;
                }
                self.record_arrival();
                return Ok(Some(event));
            }
            match self.reader.next_chunk(deadline).await {
                Ok(Some(chunk)) => self.splitter.feed(&chunk),
                Ok(None) if self.splitter.has_partial_event() => return Err(Fault::Truncated),
                Ok(None) => return Ok(None),
                Err(error) => return Err(read_fault(&error, self.count > 0)),
            }
        }
    }

    /// Whether the caller already has the event.
    fn is_delivered(&self, event: &Event) -> bool {
        event
            .id
            .zip(self.after)
            .is_some_and(|(id, after)| id <= after)
    }

    fn record_arrival(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.count += 1;
    }

    /// Time from sending the request to the first event.
    pub(super) fn time_to_first(&self, sent: Instant) -> Option<Duration> {
        let first = self.first?;
        Some(first.saturating_duration_since(sent))
    }

    /// Mean time between events.
    pub(super) fn mean_gap(&self) -> Option<Duration> {
        let gaps = self.count.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let (first, last) = self.first.zip(self.last)?;
        Some(last.saturating_duration_since(first) / gaps)
    }
}

fn read_fault(error: &Error, has_events: bool) -> Fault {
    match (error.is_timeout(), has_events) {
        (true, false) => Fault::TimedOut,
        (true, true) => Fault::Stalled,
        (false, _) => {
            log::debug!("reading an event stream failed: {error}");
            Fault::Broken
        }
    }
}
