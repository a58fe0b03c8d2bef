//! Stand-in of a client: it keeps a channel open for several requests, and checks what it gets.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, read_chunk, read_head};

/// A channel to an entry.
pub struct Channel {
    stream: BufReader<TcpStream>,
}

/// What a client got for a request.
#[derive(Debug)]
pub struct Answer {
    pub head: Option<Message>,
    /// The numbers of the events, in the order of their arrival.
    pub events: Vec<u64>,
    /// Whether the answer ended as HTTP demands, not with the end of its channel.
    pub is_whole: bool,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Message::status)
    }

    /// In one line, for the record.
    pub fn describe(&self) -> String {
        let end = if self.is_whole {
            "whole"
        } else {
            "its channel ended without a complete answer"
        };
        let events = match (self.events.first(), self.events.last()) {
            (Some(first), Some(last)) => format!("events {first} to {last}"),
            _ => "no events".to_owned(),
        };
        format!("status {}, {events}, {end}", self.status())
    }
}

impl Channel {
    pub fn open(front: SocketAddr) -> Self {
        let stream = TcpStream::connect(front).expect("a channel to the entry");
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
        Self {
            stream: BufReader::new(stream),
        }
    }

    /// Sends a request and reads its answer to the end.
    pub fn request(&mut self, path: &str, id: &str, headers: &[(&str, &str)]) -> Answer {
        self.request_with_body(path, id, headers, b"hello")
    }

    /// Sends a request with a body and reads its answer to the end.
    pub fn request_with_body(
        &mut self,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Answer {
        let mut text = format!(
            "POST {path} HTTP/1.1\r\nHost: host.example\r\nX-Comfreyroad-Request-Id: {id}\r\n"
        );
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let message = [text.as_bytes(), body].concat();
        let is_sent = self.stream.get_mut().write_all(&message).is_ok();
        let head = is_sent.then(|| read_head(&mut self.stream)).flatten();
        let (mut events, mut is_whole) = (Vec::new(), false);
        if let Some(head) = &head {
            let (body, is_complete) = self.read_body(head);
            (events, is_whole) = (event_numbers(&body), is_complete);
        }
        Answer {
            head,
            events,
            is_whole,
        }
    }

    fn read_body(&mut self, head: &Message) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        if let Some(length) = head.header("content-length") {
            let mut rest = vec![0; length.parse().unwrap_or(0)];
            let is_whole = std::io::Read::read_exact(&mut self.stream, &mut rest).is_ok();
            body.extend(rest);
            return (body, is_whole);
        }
        while let Some(chunk) = read_chunk(&mut self.stream) {
            if chunk.is_empty() {
                return (body, true);
            }
            body.extend(chunk);
        }
        (body, false)
    }
}

/// The numbers of the events in a body.
fn event_numbers(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    ids.filter_map(|id| id.trim().parse().ok()).collect()
}
