//! Shared helpers: a server on a free port, requests, and raw reads and writes.

use std::{
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::Pin,
    time::{Duration, Instant},
};

use comfreyroad_net::{
    body::Body,
    listener::Listener,
    runtime,
    server::{Handle, Server},
    stream::Stream,
};
use compio::runtime::JoinHandle;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    rt::{Read, ReadBuf, Write},
};

/// Runs a test on the event loop, for at most ten seconds.
pub(crate) fn run(test: impl Future<Output = ()>) {
    runtime::run(async {
        compio::time::timeout_at(deadline(), test)
            .await
            .expect("the test ends in time");
    })
    .unwrap();
}

pub(crate) fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

pub(crate) async fn sleep_ms(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

pub(crate) fn listener() -> Listener {
    Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap()
}

pub(crate) fn get(path: &str) -> Request<Body> {
    Request::builder().uri(path).body(Body::default()).unwrap()
}

pub(crate) type ServerTask = JoinHandle<()>;

pub(crate) fn serve<H, F>(handler: H) -> (SocketAddr, Handle, ServerTask)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let listener = listener();
    let address = listener.address();
    let server = Server::new(listener);
    let handle = server.handle();
    (
        address,
        handle,
        compio::runtime::spawn(server.serve(handler)),
    )
}

pub(crate) async fn write(stream: &mut Stream, bytes: &[u8]) {
    let written = poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, bytes)).await;
    assert_eq!(written.unwrap(), bytes.len());
}

/// Reads the next bytes; returns none at the regular end of the stream.
pub(crate) async fn read(stream: &mut Stream) -> io::Result<Vec<u8>> {
    let mut bytes = [0; 4096];
    let mut buffer = ReadBuf::new(&mut bytes);
    poll_fn(|cx| Pin::new(&mut *stream).poll_read(cx, buffer.unfilled())).await?;
    Ok(buffer.filled().to_vec())
}

/// Reads until the stream ends; returns the text and how the stream ended.
pub(crate) async fn read_to_end(stream: &mut Stream) -> (String, io::Result<()>) {
    let mut all = Vec::new();
    let end = loop {
        match read(stream).await {
            Ok(bytes) if bytes.is_empty() => break Ok(()),
            Ok(bytes) => all.extend(bytes),
            Err(error) => break Err(error),
        }
    };
    (String::from_utf8(all).unwrap(), end)
}
