//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::BufRead;

#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Some(String::from_utf8_lossy(&line).into_owned())
}

/// Reads the start line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Some(Message {
        start,
        headers,
        body: Vec::new(),
    })
}

/// Reads one chunk of a chunked body; an empty one is the end.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let length = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk).ok()?;
    read_line(reader)?;
    Some(chunk)
}

/// Reads a message with its body.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if let Some(length) = message.header("content-length") {
        let length = length.parse().ok()?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    }
    Some(message)
}
