//! Minimal HTTP/1.1 on blocking sockets, with control over every byte.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the complete body was received.
    pub is_complete: bool,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.word(1)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |it| it)
    }

    fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a message; `None` if the peer closes the connection before the end of its headers.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    read_line(stream, &mut message.start_line)?;
    loop {
        let mut line = String::new();
        read_line(stream, &mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let value = value.trim().to_owned();
        message.headers.insert(name.to_lowercase(), value);
    }
    message.start_line = message.start_line.trim_end().to_owned();
    message.is_complete = read_body(stream, &mut message).is_some();
    Some(message)
}

fn read_line(stream: &mut BufReader<TcpStream>, line: &mut String) -> Option<()> {
    let length = stream.read_line(line).ok()?;
    (length > 0 && line.ends_with('\n')).then_some(())
}

fn read_body(stream: &mut BufReader<TcpStream>, message: &mut Message) -> Option<()> {
    if message.header("transfer-encoding") != "chunked" {
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        return stream.read_exact(&mut message.body).ok();
    }
    loop {
        let mut size = String::new();
        read_line(stream, &mut size)?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        message.body.extend(&chunk[..size]);
    }
}
