use std::{cell::Cell, io::ErrorKind, rc::Rc, time::Duration};

use comfreyroad_net::{
    body::{Body, Sender},
    client::{Client, Reader, Sent, Step},
    stream::Stream,
};
use compio::time::timeout;
use futures_util::future::join;
use http::{Request, Response};

use crate::support::{deadline, get, listener, read, read_to_end, run, serve, sleep_ms, write};

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
const CLOSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nabc";

/// Reads a response that the peer ends after its first chunk, and returns the client's error.
async fn read_truncated(head: &'static [u8], reset: bool) -> comfreyroad_net::client::Error {
    let listener = listener();
    let address = listener.address();
    let peer = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await;
        read(&mut stream).await.unwrap();
        write(&mut stream, head).await;
        sleep_ms(5).await;
        if reset {
            stream.reset().unwrap();
        }
    });
    let response = Client::default()
        .call(address, get("/"), deadline())
        .await
        .unwrap();
    let mut reader = Reader::new(address, response.into_body());
    assert_eq!(reader.next_chunk(deadline()).await.unwrap().unwrap(), "abc");
    let error = reader.next_chunk(deadline()).await.unwrap_err();
    peer.await.unwrap();
    error
}

#[test]
fn a_truncated_response_is_an_error() {
    run(async {
        for (head, reset) in [
            (CHUNKED_HEAD, true),
            (CLOSE_HEAD, true),
            (CHUNKED_HEAD, false),
        ] {
            let error = read_truncated(head, reset).await;
            assert_eq!((error.step, error.sent), (Step::Body, Sent::Maybe));
        }
    });
}

/// What a caller with HTTP version `version` receives when `end` ends the response after its first chunk.
async fn response_ended_by(version: &str, end: fn(Sender)) -> (String, std::io::Result<()>) {
    let (address, _handle, _task) = serve(move |_, _| async move {
        let (sender, body) = Body::channel();
        compio::runtime::spawn(async move {
            sender.send("first".into()).await.unwrap();
            sleep_ms(5).await;
            end(sender);
        })
        .detach();
        Response::new(body)
    });
    let mut stream = Stream::connect(address).await.unwrap();
    let request = format!("GET / HTTP/{version}\r\nhost: x\r\nconnection: close\r\n\r\n");
    write(&mut stream, request.as_bytes()).await;
    read_to_end(&mut stream).await
}

#[test]
fn an_aborted_response_resets_the_connection() {
    run(async {
        for version in ["1.0", "1.1"] {
            for end in [Sender::abort, drop] {
                let (text, end) = response_ended_by(version, end).await;
                assert!(
                    text.contains("first") && !text.contains("\r\n0\r\n"),
                    "{text}"
                );
                assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
            }
        }
        let (text, end) = response_ended_by("1.1", Sender::finish).await;
        assert!(text.ends_with("first\r\n0\r\n\r\n"), "{text}");
        end.unwrap();
    });
}

/// Sets the flag when it is dropped.
struct DropFlag(Rc<Cell<bool>>);

impl Drop for DropFlag {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

#[test]
fn a_dropped_call_drops_the_handler() {
    run(async {
        let dropped = Rc::new(Cell::new(false));
        let flag = dropped.clone();
        let (address, handle, _task) = serve(move |_, _| {
            let flag = DropFlag(flag.clone());
            async move {
                std::future::pending::<()>().await;
                drop(flag);
                Response::new(Body::default())
            }
        });
        let client = Client::default();
        let call = client.call(address, get("/"), deadline());
        assert!(timeout(Duration::from_millis(20), call).await.is_err());
        sleep_ms(20).await;
        assert!(dropped.get());
        assert_eq!(handle.connections(), 0);
    });
}

#[test]
fn a_dropped_response_closes_the_sender() {
    run(async {
        let closed = Rc::new(Cell::new(false));
        let seen = closed.clone();
        let (address, handle, _task) = serve(move |_, _| {
            let seen = seen.clone();
            async move {
                let (sender, body) = Body::channel();
                compio::runtime::spawn(async move {
                    sender.send("first".into()).await.unwrap();
                    sender.closed().await;
                    assert!(sender.send("second".into()).await.is_err());
                    seen.set(true);
                })
                .detach();
                Response::new(body)
            }
        });
        let client = Client::default();
        let response = client.call(address, get("/"), deadline()).await.unwrap();
        let mut reader = Reader::new(address, response.into_body());
        reader.next_chunk(deadline()).await.unwrap();
        drop(reader);
        sleep_ms(20).await;
        assert!(closed.get());
        assert_eq!((handle.connections(), client.idle_connections()), (0, 0));
    });
}

#[test]
fn an_abort_resets_a_connection_whose_caller_reads_nothing() {
    run(async {
        let (address, handle, _task) = serve(|_, _| async {
            let (sender, body) = Body::channel();
            compio::runtime::spawn(async move {
                let stalled = async { while sender.send(vec![0; 1 << 20].into()).await.is_ok() {} };
                assert!(timeout(Duration::from_millis(50), stalled).await.is_err());
            })
            .detach();
            Response::new(body)
        });
        let mut stream = Stream::connect(address).await.unwrap();
        write(&mut stream, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await;
        sleep_ms(100).await;
        assert_eq!(handle.connections(), 0);
    });
}

#[test]
fn an_aborted_request_fails_at_the_send_step() {
    run(async {
        let (address, _handle, _task) = serve(|request, peer| async move {
            let mut reader = Reader::new(peer, request.into_body());
            while reader.next_chunk(deadline()).await.unwrap().is_some() {}
            unreachable!("the request never ends");
        });
        let (sender, body) = Body::channel();
        sender.send("part".into()).await.unwrap();
        let client = Client::default();
        let request = Request::post("/").body(body).unwrap();
        let call = client.call(address, request, deadline());
        let abort = async {
            sleep_ms(10).await;
            sender.abort();
        };
        let error = join(call, abort).await.0.unwrap_err();
        assert_eq!((error.step, error.sent), (Step::Send, Sent::Maybe));
    });
}
