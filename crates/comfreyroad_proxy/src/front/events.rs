use std::time::{Duration, Instant};

use bytes::BytesMut;
use comfreyroad_net::client::{Error, Reader};
use comfreyroad_router::answer::{Fault, Pace};
use comfreyroad_wire::sse::{Event, Splitter};
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use super::memory::Share;

/// Maximum number of bytes between two events that belong to neither: comments, and events that the caller already has. A
/// stream that is resumed from its start may repeat as much.
const MAX_IDLE_BYTES: usize = 1024 * 1024;

/// Maximum number of comments between two events. Each takes processor time, however short it is.
const MAX_COMMENTS: u32 = 4096;

/// Reads the event stream of an upstream's response.
#[derive(Debug)]
pub(super) struct Events {
    reader: Reader,
    splitter: Splitter,
    // Last event that was returned or that the caller already has; events up to this one are skipped.
    after: Option<u64>,
    // Whether the end of the body is marked by its length or its last chunk, not by the end of the connection.
    has_marked_end: bool,
    // Comments that have arrived since the last event, which precede the next one.
    comments: BytesMut,
    // Bytes that have arrived since the last event and belong to none.
    idle_bytes: usize,
    // Comments among them.
    idle_comments: u32,
    // Of what has arrived and is no complete event yet.
    memory: Share,
    first: Option<Instant>,
    last: Option<Instant>,
    count: u32,
}

impl Events {
    /// Reads the events of a response after a given one.
    pub(super) fn new(
        reader: Reader,
        headers: &HeaderMap,
        after: Option<u64>,
        memory: Share,
    ) -> Self {
        let framing = [CONTENT_LENGTH, TRANSFER_ENCODING];
        Self {
            has_marked_end: framing.iter().any(|name| headers.contains_key(name)),
            reader,
            splitter: Splitter::default(),
            after,
            comments: BytesMut::new(),
            idle_bytes: 0,
            idle_comments: 0,
            memory,
            first: None,
            last: None,
            count: 0,
        }
    }

    /// Waits for the next event until `deadline`; `None` at the regular end of the stream. Comments and events that the caller
    /// already has are no progress and do not extend the deadline.
    pub(super) async fn next(&mut self, deadline: Instant) -> Result<Option<Event>, Fault> {
        loop {
            let event = self.next_buffered()?;
            self.count_buffered()?;
            if event.is_some() {
                return Ok(event);
            }
            match self.reader.next_chunk(deadline).await {
                Ok(Some(chunk)) => self.splitter.feed(&chunk),
                Ok(None) if self.splitter.has_partial_event() || self.is_empty() => {
                    return Err(Fault::Truncated);
                }
                Ok(None) => return Ok(self.take_comments()),
                Err(error) => return Err(read_fault(&error, self.count > 0)),
            }
        }
    }

    /// Whether a stream has no event yet, though it must have some. One that is resumed after its last event has none, but then
    /// its end must be marked: an upstream that crashes also closes the connection.
    fn is_empty(&self) -> bool {
        self.count == 0 && !(self.after.is_some() && self.has_marked_end)
    }

    /// The next event that has arrived completely and that the caller does not have.
    fn next_buffered(&mut self) -> Result<Option<Event>, Fault> {
        let broken = |error: &dyn std::fmt::Display| {
            log::debug!("reading an event stream failed: {error}");
            Fault::Broken
        };
        while let Some(event) = self.splitter.next_event().map_err(|error| broken(&error))? {
            if !event.is_comment() && !self.is_delivered(&event) {
                return Ok(Some(self.accept(event)));
            }
            self.idle_bytes += event.bytes.len();
            self.idle_comments += u32::from(event.is_comment());
            if self.idle_bytes > MAX_IDLE_BYTES || self.idle_comments > MAX_COMMENTS {
                return Err(broken(&"too many bytes without a new event"));
            }
            if event.is_comment() {
                self.comments.extend_from_slice(&event.bytes);
            }
        }
        Ok(None)
    }

    /// Counts the buffered bytes as taken from the memory of all bodies. Fails if there is none left.
    fn count_buffered(&mut self) -> Result<(), Fault> {
        let bytes = self.splitter.buffered_bytes() + self.comments.len();
        if self.memory.resize_to(bytes) {
            return Ok(());
        }
        log::debug!("reading an event stream failed: no memory left for an event");
        Err(Fault::Broken)
    }

    /// Takes a new event, with the comments before it.
    fn accept(&mut self, event: Event) -> Event {
        self.record_arrival();
        self.after = event.id.or(self.after);
        self.idle_bytes = 0;
        self.idle_comments = 0;
        if self.comments.is_empty() {
            return event;
        }
        let mut bytes = self.comments.split();
        bytes.extend_from_slice(&event.bytes);
        Event {
            bytes: bytes.freeze(),
            id: event.id,
        }
    }

    /// The comments after the last event of a stream.
    fn take_comments(&mut self) -> Option<Event> {
        let bytes = self.comments.split().freeze();
        (!bytes.is_empty()).then_some(Event { bytes, id: None })
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

    /// Number of events so far.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// How fast events have arrived so far; `None` before the second one.
    pub(super) fn pace(&self) -> Option<Pace> {
        let gaps = self.count.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let (first, last) = self.first.zip(self.last)?;
        let mean_gap = last.saturating_duration_since(first) / gaps;
        Some(Pace { gaps, mean_gap })
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
