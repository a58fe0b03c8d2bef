//! Clients: each request goes on a channel of its own.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;

/// Time that clients allow a new channel to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub line: &'static str,
    /// Further header lines, each with its line end.
    pub headers: String,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

/// Whether an entry says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let response = exchange(address, request.as_bytes(), CONNECT_TIMEOUT);
    response.is_some_and(|it| it.status() == 200)
}

/// Sends a request to an entry, and notes the answer. The client leaves at its time limit.
pub fn send(record: &Record, (entry, front): (usize, SocketAddr), request: &Request, what: &str) {
    record.send(&request.id, entry, what);
    let head = format!(
        "{}\r\nHost: ficu95.example\r\nX-Comfreyroad-Request-Id: {}\r\nX-Comfreyroad-Deadline-Ms: {}\r\n\
         X-Comfreyroad-Key: n2ctnfzs989anu6wsjnb\r\n{}Content-Length: {}\r\n\r\n",
        request.line,
        request.id,
        request.deadline.as_millis(),
        request.headers,
        request.body.len()
    );
    let bytes = [head.as_bytes(), &request.body].concat();
    let response = exchange(front, &bytes, request.deadline);
    let status = response.as_ref().map_or(0, Message::status);
    let is_whole = response.as_ref().is_some_and(|it| it.is_complete);
    record.end(&request.id, status, is_whole);
}

fn exchange(address: SocketAddr, request: &[u8], time: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut stream = BufReader::new(stream);
    stream.get_mut().write_all(request).ok()?;
    http::read_message(&mut stream)
}
