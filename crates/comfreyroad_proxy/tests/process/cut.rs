//! An answer that breaks off after some of its bytes.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;

/// Time that the bytes before a reset get to be read.
const RESET_PAUSE: Duration = Duration::from_millis(3);

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// The first bytes of an answer, and the end of the connection.
#[derive(Debug)]
pub(super) struct Cut {
    bytes: Vec<u8>,
    end: End,
}

impl Cut {
    /// The cut that a segment of a path names, `cut-FORMAT-END-LENGTH`. `head` builds the head of an answer from a status and headers.
    pub(super) fn of(name: &str, head: impl Fn(&str, &str) -> String) -> Option<Self> {
        let mut words = name.strip_prefix("cut-")?.split('-');
        let mut bytes = answer(words.next()?, head)?.into_bytes();
        let end = match words.next()? {
            "close" => End::Close,
            "reset" => End::Reset,
            _ => return None,
        };
        bytes.truncate(words.next()?.parse().ok()?);
        Some(Self { bytes, end })
    }

    /// Sends the bytes and ends the connection.
    pub(super) fn send(&self, socket: &mut TcpStream) {
        if socket.write_all(&self.bytes).is_err() {
            return;
        }
        if let End::Reset = self.end {
            std::thread::sleep(RESET_PAUSE);
            SockRef::from(&*socket)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    }
}

/// The body of plain answers.
pub(super) const BODY: &str = "whole body";
/// The body of streams.
pub(super) const EVENTS: &str = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";

/// The whole answer in a format. The headers that frame it come last, as a cut before them leaves the rest sound.
pub(super) fn answer(format: &str, head: impl Fn(&str, &str) -> String) -> Option<String> {
    const STREAM: &str = "Content-Type: text/event-stream\r\n";
    let (kind, body) = match format {
        "length" | "chunks" => ("", BODY),
        "eventlength" | "eventchunks" | "eventunframed" => (STREAM, EVENTS),
        _ => return None,
    };
    let (first, second) = body.split_at(body.len() / 2);
    let (headers, body) = if format.ends_with("length") {
        (format!("Content-Length: {}", body.len()), body.to_owned())
    } else if format.ends_with("chunks") {
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let body = format!("{}{}0\r\n\r\n", chunk(first), chunk(second));
        ("Transfer-Encoding: chunked".to_owned(), body)
    } else {
        ("Connection: close".to_owned(), body.to_owned())
    };
    Some(head("200 OK", &format!("{kind}{headers}\r\n\r\n{body}")))
}
