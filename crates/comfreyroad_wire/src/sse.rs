//! Server-sent events, read from chunks that may break anywhere.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A stream that is no stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is longer than allowed.
    #[error("event of more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event is not UTF-8.
    #[error("event is not UTF-8")]
    NotUtf8,
}

/// Collects chunks and gives out the data of whole events.
#[derive(Debug, Default)]
pub struct Parser {
    splitter: Splitter,
}

impl Parser {
    /// Takes a chunk.
    pub fn feed(&mut self, chunk: &[u8]) {
        self.splitter.feed(chunk);
    }

    /// The data of the next whole event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<String>, Error> {
        while let Some(event) = self.splitter.next_event()? {
            let text = std::str::from_utf8(&event.bytes).map_err(|_| Error::NotUtf8)?;
            let data: Vec<&str> = text.lines().filter_map(parse_data).collect();
            if !data.is_empty() {
                return Ok(Some(data.join("\n")));
            }
        }
        Ok(None)
    }

    /// Whether a part of an event is left over.
    pub fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }
}

/// The data of a line, if it is a line of data.
fn parse_data(line: &str) -> Option<&str> {
    let data = line.strip_prefix("data:")?;
    Some(data.strip_prefix(' ').unwrap_or(data))
}

/// One event of a stream, as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// Splits a stream into whole events without a change to their bytes.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Takes a chunk.
    pub fn feed(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        let Some(end) = self.find_end() else {
            return match self.buffer.len() {
                ..=MAX_EVENT_BYTES => Ok(None),
                _ => Err(Error::TooLong),
            };
        };
        let bytes = self.buffer.split_to(end).freeze();
        let id = parse_id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Whether a part of an event is left over.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Where the first event ends: after an empty line, with either kind of line end.
    fn find_end(&mut self) -> Option<usize> {
        const LONGEST_END: usize = 3;
        let from = self.searched.saturating_sub(LONGEST_END);
        let buffer = &self.buffer[from..];
        let short = buffer
            .windows(2)
            .position(|it| it == b"\n\n")
            .map(|at| at + 2);
        let long = buffer
            .windows(3)
            .position(|it| it == b"\n\r\n")
            .map(|at| at + 3);
        let end = short.into_iter().chain(long).min();
        self.searched = if end.is_some() { 0 } else { self.buffer.len() };
        end.map(|end| from + end)
    }
}

/// The number in an event's `id` line.
fn parse_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
