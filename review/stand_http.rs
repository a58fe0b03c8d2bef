//! Minimal HTTP/1.1 on blocking sockets.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map_or("", |(_, value)| value)
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the start line and the headers; `None` if the connection ends before.
pub fn read_head(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|read| *read > 0)?;
    message.start_line = line.trim_end().to_owned();
    loop {
        line.clear();
        stream.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some(message);
        };
        let header = (name.to_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads a message with a length, or with chunks; `None` if the connection ends before its end.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(stream)?;
    if message.header("transfer-encoding").contains("chunked") {
        while let Some(chunk) = read_chunk(stream)? {
            message.body.extend(chunk);
        }
        return Some(message);
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a chunk: `Some(None)` is the end of the body, `None` the end of the connection before it.
pub fn read_chunk(stream: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let mut size = String::new();
    stream.read_line(&mut size).ok().filter(|read| *read > 0)?;
    let size = usize::from_str_radix(size.trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    stream.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some((size > 0).then_some(chunk))
}

/// Opens a connection. Reads fail after a time without bytes.
pub fn connect(address: SocketAddr, read_timeout: Duration) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(read_timeout)).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request on a new connection and reads the response; `None` if there is no complete one.
pub fn exchange(address: SocketAddr, text: &str, read_timeout: Duration) -> Option<Message> {
    let mut stream = connect(address, read_timeout)?;
    stream.get_mut().write_all(text.as_bytes()).ok()?;
    read_message(&mut stream)
}
