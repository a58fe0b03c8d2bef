//! Clients of the proxies.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// A new request id.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The text of a request without a body.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Comfreyroad-Request-Id: {id}\r\n\
         X-Comfreyroad-Deadline-Ms: {deadline_ms}\r\nX-Comfreyroad-Key: key\r\nContent-Length: 0\r\n{headers}\r\n"
    )
}

/// What a client has got of a stream.
#[derive(Debug, Default)]
pub struct Stream {
    /// Status of the answer; 0 if there was none.
    pub status: u16,
    /// Whether the stream has ended as it should.
    pub is_complete: bool,
    /// Ids of the events.
    pub events: Vec<u64>,
    /// When the answer ended or the connection did.
    pub took: Duration,
}

/// Sends a request on a new connection and reads its stream to the end.
pub fn read_stream(address: SocketAddr, text: &str, read_timeout: Duration) -> Stream {
    let started = Instant::now();
    let mut result = Stream::default();
    let mut read = || {
        let mut stream = http::connect(address, read_timeout)?;
        stream.get_mut().write_all(text.as_bytes()).ok()?;
        let head = http::read_head(&mut stream)?;
        result.status = head.status();
        if !head.header("transfer-encoding").contains("chunked") {
            return None;
        }
        while let Some(chunk) = http::read_chunk(&mut stream)? {
            let text = String::from_utf8_lossy(&chunk).into_owned();
            let ids = text.lines().filter_map(|it| it.strip_prefix("id: "));
            result
                .events
                .extend(ids.filter_map(|it| it.parse::<u64>().ok()));
        }
        Some(())
    };
    result.is_complete = read().is_some();
    result.took = started.elapsed();
    result
}
