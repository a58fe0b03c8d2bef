//! Parsing of server-sent events from chunks that may be split at any byte.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An invalid stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("event of more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event is not UTF-8.
    #[error("event is not UTF-8")]
    NotUtf8,
}

/// Buffers chunks and returns the data of complete events.
#[derive(Debug, Default)]
pub struct Parser {
    splitter: Splitter,
}

impl Parser {
    /// Adds a chunk to the buffer.
    pub fn feed(&mut self, chunk: &[u8]) {
        self.splitter.feed(chunk);
    }

    /// Returns the data of the next event that is complete and has data.
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

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }
}

/// Value of a `data` line.
fn parse_data(line: &str) -> Option<&str> {
    let data = line.strip_prefix("data:")?;
    Some(data.strip_prefix(' ').unwrap_or(data))
}

/// One event of a stream, with its bytes unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of the `id` line, if it is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Whether it consists of comments and empty lines only, which are no event.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
    }
}

/// Splits a stream into complete events and leaves their bytes unchanged.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Adds a chunk to the buffer.
    pub fn feed(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the next complete event.
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

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Finds the end of the first event, which is after an empty line. Lines end with LF or CRLF.
    fn find_end(&mut self) -> Option<usize> {
        const MAX_TERMINATOR_BYTES: usize = 3;
        let from = self.searched.saturating_sub(MAX_TERMINATOR_BYTES);
        let buffer = &self.buffer[from..];
        let lf_end = buffer
            .windows(2)
            .position(|window| window == b"\n\n")
            .map(|at| at + 2);
        let crlf_end = buffer
            .windows(3)
            .position(|window| window == b"\n\r\n")
            .map(|at| at + 3);
        let end = lf_end.into_iter().chain(crlf_end).min();
        self.searched = if end.is_some() { 0 } else { self.buffer.len() };
        end.map(|end| from + end)
    }
}

/// Number in the `id` line of an event.
fn parse_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
