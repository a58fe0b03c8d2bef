//! How the body of a request is sent.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::time::Duration;

use fastrand::Rng;

/// Longest time in which a body is sent.
const MAX_MILLIS: u64 = 2500;
const MAX_PIECES: u64 = 6;

/// Body of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Body {
    /// Pieces, each with the time that passes before it; none if the request has no body. The last one is empty and ends the body.
    pieces: Vec<(Duration, String)>,
}

impl Body {
    /// Returns a random body in chunks.
    pub(super) fn random(rng: &mut Rng) -> Self {
        let count = rng.u64(1..=MAX_PIECES);
        let total = [0, rng.u64(..MAX_MILLIS)][rng.usize(..2)];
        let pieces = (0..=count).map(|number| {
            let text = if number == count {
                String::new()
            } else {
                format!("piece {number}, {}\n", rng.u32(..))
            };
            (Duration::from_millis(total / (count + 1)), text)
        });
        Self {
            pieces: pieces.collect(),
        }
    }

    /// The header that says how the body is sent.
    pub(super) fn header(&self) -> &'static str {
        if self.pieces.is_empty() {
            "Content-Length: 0"
        } else {
            "Transfer-Encoding: chunked"
        }
    }

    /// The body as the engine should get it.
    pub(super) fn text(&self) -> String {
        self.pieces.iter().map(|(_, text)| &**text).collect()
    }

    /// Sends the body. Returns whether it was sent whole: a caller stops if its answer begins or its connection closes.
    pub(super) fn send(&self, stream: &mut BufReader<TcpStream>) -> bool {
        let mut pieces = self.pieces.iter();
        pieces.all(|(pause, text)| {
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_open_after(stream, *pause) && stream.get_mut().write_all(chunk.as_bytes()).is_ok()
        })
    }
}

/// Waits for some time, or until something arrives. Returns whether the connection is open and nothing has arrived.
pub(super) fn is_open_after(stream: &mut BufReader<TcpStream>, pause: Duration) -> bool {
    if pause.is_zero() {
        return true;
    }
    stream.get_mut().set_read_timeout(Some(pause)).is_ok()
        && stream
            .fill_buf()
            .is_err_and(|it| matches!(it.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}
