//! Minimal HTTP/1.1 on blocking sockets, which gives tests control over every byte.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub(super) struct Message {
    pub(super) start_line: String,
    pub(super) headers: BTreeMap<String, String>,
    pub(super) body: Vec<u8>,
    /// Whether the complete body was received.
    pub(super) is_complete: bool,
}

impl Message {
    pub(super) fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub(super) fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    pub(super) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |it| it)
    }

    pub(super) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `None` if the peer closes the connection before the end of its headers.
pub(super) fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    stream
        .read_line(&mut message.start_line)
        .ok()
        .filter(|it| *it > 0)?;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|it| *it > 0)?;
        let line = line.trim_end();
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        message
            .headers
            .insert(name.to_lowercase(), value.trim().to_owned());
    }
    message.is_complete = read_body(stream, &mut message);
    Some(message)
}

fn read_body(stream: &mut BufReader<TcpStream>, message: &mut Message) -> bool {
    if message.header("transfer-encoding") == "chunked" {
        loop {
            let mut size = String::new();
            if stream.read_line(&mut size).is_err() {
                return false;
            }
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return false;
            };
            let mut chunk = vec![0; size + 2];
            if stream.read_exact(&mut chunk).is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            message.body.extend(&chunk[..size]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).is_ok()
}

pub(super) fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the daemon should be listening");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    BufReader::new(stream)
}

/// Sends a request and reads the response; `None` if the connection closes without one.
pub(super) fn send_request(address: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = connect(address);
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    read_message(&mut stream)
}
