use std::{cell::Cell, io::ErrorKind, rc::Rc, time::Duration};

use comfreyroad_net::{
    body::{Body, Sender},
    client::{Client, Reader, Sent, Step},
    stream::Stream,
};
use compio::time::timeout;
use futures_util::future::join;
use http::{Request, Response};

use crate::support::{get, listener, pause, read, read_to_end, run, serve, soon, write};

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
const CLOSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nabc";

/// What a client makes of an answer that its peer breaks off.
async fn read_broken(head: &'static [u8], reset: bool) -> comfreyroad_net::client::Error {
    let listener = listener();
    let address = listener.address();
    let peer = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read(&mut stream).await.unwrap();
        write(&mut stream, head).await;
        pause(5).await;
        if reset {
            stream.reset().unwrap();
        }
    });
    let answer = Client::default()
        .call(address, get("/"), soon())
        .await
        .unwrap();
    let mut reader = Reader::new(address, answer.into_body());
    assert_eq!(reader.next_chunk(soon()).await.unwrap().unwrap(), "abc");
    let error = reader.next_chunk(soon()).await.unwrap_err();
    peer.await.unwrap();
    error
}

#[test]
fn a_client_takes_no_part_for_the_whole() {
    run(async {
        for (head, reset) in [
            (CHUNKED_HEAD, true),
            (CLOSE_HEAD, true),
            (CHUNKED_HEAD, false),
        ] {
            let error = read_broken(head, reset).await;
            assert_eq!((error.step, error.sent), (Step::Body, Sent::Maybe));
        }
    });
}

/// What a caller of HTTP version `version` sees of an answer that `end` ends after its first chunk.
async fn answer_ended_by(version: &str, end: fn(Sender)) -> (String, std::io::Result<()>) {
    let (address, _handle, _served) = serve(move |_, _| async move {
        let (sender, body) = Body::channel();
        compio::runtime::spawn(async move {
            sender.send("first".into()).await.unwrap();
            pause(5).await;
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
fn an_aborted_answer_ends_by_a_reset() {
    run(async {
        for version in ["1.0", "1.1"] {
            for end in [Sender::abort, drop] {
                let (text, end) = answer_ended_by(version, end).await;
                assert!(
                    text.contains("first") && !text.contains("\r\n0\r\n"),
                    "{text}"
                );
                assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
            }
        }
        let (text, end) = answer_ended_by("1.1", Sender::finish).await;
        assert!(text.ends_with("first\r\n0\r\n\r\n"), "{text}");
        end.unwrap();
    });
}

/// Sets its flag when it is dropped.
struct Flag(Rc<Cell<bool>>);

impl Drop for Flag {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

#[test]
fn a_dropped_call_drops_the_handler() {
    run(async {
        let dropped = Rc::new(Cell::new(false));
        let flag = dropped.clone();
        let (address, handle, _served) = serve(move |_, _| {
            let flag = Flag(flag.clone());
            async move {
                std::future::pending::<()>().await;
                drop(flag);
                Response::new(Body::default())
            }
        });
        let client = Client::default();
        let call = client.call(address, get("/"), soon());
        assert!(timeout(Duration::from_millis(20), call).await.is_err());
        pause(20).await;
        assert!(dropped.get());
        assert_eq!(handle.connections(), 0);
    });
}

#[test]
fn a_dropped_answer_closes_the_sender() {
    run(async {
        let closed = Rc::new(Cell::new(false));
        let seen = closed.clone();
        let (address, handle, _served) = serve(move |_, _| {
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
        let answer = client.call(address, get("/"), soon()).await.unwrap();
        let mut reader = Reader::new(address, answer.into_body());
        reader.next_chunk(soon()).await.unwrap();
        drop(reader);
        pause(20).await;
        assert!(closed.get());
        assert_eq!((handle.connections(), client.idle_connections()), (0, 0));
    });
}

#[test]
fn an_abort_breaks_a_connection_whose_caller_reads_nothing() {
    run(async {
        let (address, handle, _served) = serve(|_, _| async {
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
        pause(100).await;
        assert_eq!(handle.connections(), 0);
    });
}

#[test]
fn an_aborted_request_is_an_error_of_the_send() {
    run(async {
        let (address, _handle, _served) = serve(|request, peer| async move {
            let mut reader = Reader::new(peer, request.into_body());
            while reader.next_chunk(soon()).await.unwrap().is_some() {}
            unreachable!("the request has no end");
        });
        let (sender, body) = Body::channel();
        sender.send("part".into()).await.unwrap();
        let client = Client::default();
        let request = Request::post("/").body(body).unwrap();
        let call = client.call(address, request, soon());
        let abort = async {
            pause(10).await;
            sender.abort();
        };
        let error = join(call, abort).await.0.unwrap_err();
        assert_eq!((error.step, error.sent), (Step::Send, Sent::Maybe));
    });
}
