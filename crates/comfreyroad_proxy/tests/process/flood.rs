//! What a faulty engine sends without end.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Pause between two bytes of a trickle; no read takes long enough to time out.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a flood that are written at once, so that it is never slower than its reader.
const WRITE_BYTES: usize = 256 * 1024;
/// Time for which a connection rests in the caller's pool before the flood.
pub(super) const REST: Duration = Duration::from_millis(150);

/// The start of an answer, and the text that follows it until the caller closes.
#[derive(Debug)]
pub(super) struct Flood {
    start: String,
    rest: Duration,
    text: String,
    pause: Duration,
}

impl Flood {
    /// The flood of that name. `head` builds the head of an answer from a status and headers.
    pub(super) fn of(name: &str, head: impl Fn(&str, &str) -> String) -> Option<Self> {
        let (name, pause) = match name.strip_prefix("trickle-") {
            Some(name) => (name, TRICKLE_PAUSE),
            None => (name.strip_prefix("flood-")?, Duration::ZERO),
        };
        let chunks = head("200 OK", "Transfer-Encoding: chunked\r\n\r\n");
        let events = "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        let events = head("200 OK", events);
        let first = format!("{events}id: 1\ndata: event 1\n\n");
        let whole = head("200 OK", "Content-Length: 2\r\n\r\nok");
        let (name, mut rest) = match name.strip_prefix("late-") {
            Some(name) => (name, REST),
            None => (name, Duration::ZERO),
        };
        let (start, text) = match name {
            "line" => (head("200 OK", "X-More: "), "x"),
            "1xx" => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            "body" => (head("200 OK", "Connection: close\r\n\r\n"), "x"),
            "chunk-size" => (chunks, "0"),
            "chunk-space" => (format!("{chunks}1"), " "),
            "chunk-extension" => (format!("{chunks}1;"), "x"),
            "trailer-line" => (format!("{chunks}0\r\nX-More: "), "x"),
            "trailers" => (format!("{chunks}0\r\n"), "X-More: x\r\n"),
            "event-line" => (format!("{events}data: "), "x"),
            "event-lines" => (events, "data: x\n"),
            "comments" => (events, ":\n\n"),
            "later-event-line" => (format!("{first}data: "), "x"),
            "later-event-lines" => (first, "data: x\n"),
            "events" => (first, "data: x\n\n"),
            "after" => (whole, "x"),
            "idle" => {
                rest = REST;
                (whole, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
            }
            _ => return None,
        };
        let times = if pause.is_zero() {
            WRITE_BYTES / text.len()
        } else {
            1
        };
        Some(Self {
            start,
            rest,
            text: text.repeat(times),
            pause,
        })
    }

    /// Sends until the peer closes the connection.
    pub(super) fn send(&self, socket: &mut TcpStream) {
        if socket.write_all(self.start.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(self.rest);
        while socket.write_all(self.text.as_bytes()).is_ok() {
            std::thread::sleep(self.pause);
        }
    }
}
