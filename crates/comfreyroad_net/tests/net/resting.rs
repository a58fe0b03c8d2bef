//! What the server keeps for connections that rest between two requests, and the heads that it reads.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use comfreyroad_net::{
    body::Body,
    client::read_all,
    server::{Limits, Server},
};
use http::Response;

use crate::support::{deadline, listener, run, sleep_ms};

/// Connections that rest at the same time.
const CONNECTIONS: u64 = 200;
/// Length of the body that was sent on each of them.
const BODY_BYTES: usize = 500_000;
/// Memory that a resting connection may keep, in KiB: buffers as long as the longest head, and its share of the process.
const MAX_KEPT_KIB: u64 = 64;
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Starts a server that returns the length of each request's body.
fn serve(max_header_bytes: usize) -> SocketAddr {
    let listener = listener();
    let address = listener.address();
    let server = Server::new(listener).with_limits(Limits {
        max_header_bytes,
        ..Limits::default()
    });
    let serve = server.serve(|request, peer| async move {
        let body = read_all(peer, request.into_body(), usize::MAX, deadline()).await;
        Response::new(Body::full(body.unwrap().len().to_string()))
    });
    compio::runtime::spawn(serve).detach();
    address
}

/// Runs blocking calls on a thread of their own, while the server runs on the loop.
async fn on_thread<T: Send + 'static>(call: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || sender.send(call()));
    loop {
        match receiver.try_recv() {
            Ok(output) => return output,
            Err(mpsc::TryRecvError::Empty) => sleep_ms(1).await,
            Err(mpsc::TryRecvError::Disconnected) => panic!("the thread ended"),
        }
    }
}

/// Sends a request, and returns the connection and what arrives first of the response.
fn exchange(address: SocketAddr, headers: &str, body: &[u8]) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    let timeout = Some(Duration::from_secs(8));
    stream.set_read_timeout(timeout).unwrap();
    let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body).unwrap();
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    (stream, text)
}

/// Resident memory of this process, in KiB.
fn memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next());
    number.unwrap().parse().unwrap()
}

/// Each connection kept some 260 KB after a long body, and a thousand of them took the process over its memory.
#[test]
fn a_connection_that_rests_after_a_long_body_keeps_little_memory() {
    run(async {
        let address = serve(MAX_HEADER_BYTES);
        let connect = move |count| {
            let body = vec![b'x'; BODY_BYTES];
            let exchange = |_| exchange(address, "", &body);
            (0..count).map(exchange).collect::<Vec<_>>()
        };
        let first = on_thread(move || connect(10)).await;
        let usual = memory_kib();
        let resting = on_thread(move || connect(CONNECTIONS)).await;
        let kept = memory_kib().saturating_sub(usual) / CONNECTIONS;
        assert!(kept < MAX_KEPT_KIB, "{kept} KiB a connection");
        for (_, text) in first.iter().chain(&resting) {
            assert!(text.ends_with("\r\n\r\n500000"), "{text}");
        }
    });
}

#[test]
fn heads_are_read_up_to_the_limit_and_refused_beyond_it() {
    run(async {
        for limit in [MAX_HEADER_BYTES, 1000, 64 * 1024] {
            let address = serve(limit);
            let cases = [(limit * 9 / 10, "200"), (limit * 11 / 10, "431")];
            for (length, status) in cases {
                let headers = format!("X-Long: {}\r\n", "x".repeat(length - 100));
                let body: &[u8] = if status == "200" { b"body" } else { b"" };
                let text = on_thread(move || exchange(address, &headers, body).1).await;
                let start = format!("HTTP/1.1 {status} ");
                assert!(text.starts_with(&start), "{limit}, {length}: {text}");
            }
        }
    });
}
