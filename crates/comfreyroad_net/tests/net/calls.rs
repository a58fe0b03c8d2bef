use std::{cell::RefCell, rc::Rc, time::Instant};

use comfreyroad_net::{
    body::Body,
    client::{Cause, Client, Deadlines, Origin, Reader, Sent, Step, read_all},
    listener::Listener,
    peer,
    stream::Stream,
};
use futures_util::future::join;
use http::Response;
use indexmap::IndexSet;

use crate::support::{deadline, get, listener, read, run, serve, sleep_ms, write};

#[test]
fn two_requests_share_a_connection() {
    run(async {
        let peers = Rc::new(RefCell::new(IndexSet::new()));
        let seen = peers.clone();
        let (address, _handle, _task) = serve(move |request, peer| {
            seen.borrow_mut().insert(peer);
            async move { Response::new(Body::full(request.uri().path().to_owned())) }
        });
        let client = Client::default();
        for path in ["/one", "/two"] {
            let response = client.call(address, get(path), deadline()).await.unwrap();
            let body = read_all(address, response.into_body(), 100, deadline()).await;
            assert_eq!(body.unwrap(), path);
            sleep_ms(1).await;
        }
        assert_eq!(peers.borrow().len(), 1);
        assert_eq!(client.idle_connections(), 1);
    });
}

/// An idle connection doesn't show that its peer is alive.
#[test]
fn a_request_is_sent_on_a_new_connection_where_that_is_asked_for() {
    run(async {
        let peers = Rc::new(RefCell::new(IndexSet::new()));
        let seen = peers.clone();
        let (address, _handle, _task) = serve(move |_, peer| {
            seen.borrow_mut().insert(peer);
            async move { Response::new(Body::default()) }
        });
        let client = Client::default();
        for (origin, connections) in [(Origin::Pool, 1), (Origin::New, 2), (Origin::Pool, 2)] {
            let deadlines = Deadlines {
                connect: deadline(),
                response: deadline(),
            };
            let call = client.call_within(address, get("/"), deadlines, origin);
            drop(call.await.unwrap());
            sleep_ms(1).await;
            assert_eq!(peers.borrow().len(), connections);
        }
    });
}

#[test]
fn a_response_over_the_limit_is_an_error() {
    run(async {
        let (address, _handle, _task) = serve(|_, _| async { Response::new(Body::full("12345")) });
        let response = Client::default().call(address, get("/"), deadline()).await;
        let error = read_all(address, response.unwrap().into_body(), 4, deadline()).await;
        assert!(matches!(error.unwrap_err().cause, Cause::TooLong(4)));
    });
}

#[test]
fn a_refused_connection_reports_an_unsent_request() {
    run(async {
        let address = listener().address();
        let error = Client::default()
            .call(address, get("/"), deadline())
            .await
            .unwrap_err();
        assert_eq!(
            (error.step, error.sent, error.peer),
            (Step::Connect, Sent::No, address)
        );
        let Cause::Io(cause) = &error.cause else {
            panic!("{error}");
        };
        assert_eq!(cause.kind(), std::io::ErrorKind::ConnectionRefused);
        let stream = Stream::connect(address).await;
        assert_eq!(
            stream.unwrap_err().kind(),
            std::io::ErrorKind::ConnectionRefused
        );
    });
}

#[test]
fn a_timeout_reports_a_request_that_may_have_been_sent() {
    run(async {
        let listener = listener();
        let address = listener.address();
        let deadline = Instant::now() + std::time::Duration::from_millis(30);
        let client = Client::default();
        let (error, accepted) =
            join(client.call(address, get("/"), deadline), listener.accept()).await;
        let error = error.unwrap_err();
        assert!(error.is_timeout());
        assert_eq!((error.step, error.sent), (Step::Head, Sent::Maybe));
        let (mut stream, _) = accepted;
        assert!(
            read(&mut stream)
                .await
                .unwrap()
                .starts_with(b"GET / HTTP/1.1\r\n")
        );
        assert!(
            read(&mut stream).await.unwrap().is_empty(),
            "the client closes the connection"
        );
    });
}

#[test]
fn a_pooled_connection_that_the_peer_closed_is_replaced() {
    run(async {
        let listener = listener();
        let client = Client::default();
        // The event loop may or may not run between the close and the next call.
        for yields in [true, false, true, false] {
            let peer = answer_once(&client, &listener).await;
            sleep_ms(1).await;
            assert_eq!(client.idle_connections(), 1);
            drop(peer);
            if yields {
                sleep_ms(1).await;
            }
        }
    });
}

/// Answers one call on a new connection, and returns the peer's side of the connection.
async fn answer_once(client: &Client, listener: &Listener) -> Stream {
    let address = listener.address();
    let call = async {
        let response = client.call(address, get("/"), deadline()).await.unwrap();
        read_all(address, response.into_body(), 2, deadline())
            .await
            .unwrap();
    };
    let peer = async {
        let (mut stream, _) = listener.accept().await;
        read(&mut stream).await.unwrap();
        write(
            &mut stream,
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        )
        .await;
        stream
    };
    let ((), stream) = join(call, peer).await;
    stream
}

#[test]
fn a_frame_is_answered_by_a_frame() {
    run(async {
        let (address, _handle, _task) = serve(|request, peer| async move {
            assert_eq!(request.headers()["content-type"], "application/msgpack");
            let frame = read_all(peer, request.into_body(), 100, deadline())
                .await
                .unwrap();
            Response::new(Body::full([&frame[..], b"!"].concat()))
        });
        let client = peer::Client::new(Client::default());
        let frame = client.exchange(address, "frame".into(), deadline()).await;
        assert_eq!(frame.unwrap(), "frame!");
    });
}

#[test]
fn the_deadline_of_a_body_moves_with_each_chunk() {
    run(async {
        let (address, _handle, _task) = serve(|_, _| async {
            let (sender, body) = Body::channel();
            let send = async move {
                for _ in 0..3 {
                    sleep_ms(60).await;
                    let _ = sender.send("x".into()).await;
                }
                sleep_ms(10_000).await;
            };
            compio::runtime::spawn(send).detach();
            Response::new(body)
        });
        let response = Client::default().call(address, get("/"), deadline()).await;
        let mut reader = Reader::new(address, response.unwrap().into_body());
        let in_ms = |millis| Instant::now() + std::time::Duration::from_millis(millis);
        for _ in 0..3 {
            // The timer that was armed first fires before the third chunk.
            let chunk = reader.next_chunk(in_ms(150)).await.unwrap();
            assert_eq!(chunk.as_deref(), Some(&b"x"[..]));
        }
        let until = in_ms(50);
        let error = reader.next_chunk(until).await.unwrap_err();
        assert!(error.is_timeout() && until <= Instant::now());
    });
}

#[test]
fn a_body_without_end_does_not_outlast_its_deadline() {
    run(async {
        let (address, _handle, _task) = serve(|_, _| async {
            let (sender, body) = Body::channel();
            let send = async move { while sender.send("x".into()).await.is_ok() {} };
            compio::runtime::spawn(send).detach();
            Response::new(body)
        });
        let response = Client::default().call(address, get("/"), deadline()).await;
        let body = response.unwrap().into_body();
        let until = Instant::now() + std::time::Duration::from_millis(50);
        let error = read_all(address, body, usize::MAX, until).await;
        assert!(error.unwrap_err().is_timeout());
    });
}
