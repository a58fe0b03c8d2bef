use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use comfreyroad_net::{
    body::Body,
    client::{Client, Reader, read_all},
    server::{Limits, Server},
    stream::Stream,
};
use futures_util::future::join;
use http::Response;

use crate::support::{deadline, get, listener, read_to_end, run, serve, sleep_ms, write};

#[test]
fn a_stop_truncates_no_response() {
    run(async {
        let (address, handle, task) = serve(|request, _| async move {
            if request.uri().path() == "/late" {
                sleep_ms(40).await;
            }
            let (sender, body) = Body::channel();
            compio::runtime::spawn(async move {
                sender.send("one ".into()).await.unwrap();
                sleep_ms(40).await;
                sender.send("two".into()).await.unwrap();
                sender.finish();
            })
            .detach();
            Response::new(body)
        });
        let client = Client::default();
        let late = async {
            client
                .call(address, get("/late"), deadline())
                .await
                .unwrap()
        };
        let started = async {
            let response = client.call(address, get("/"), deadline()).await.unwrap();
            sleep_ms(5).await;
            handle.stop(deadline());
            response
        };
        let (late, started) = join(late, started).await;
        for response in [late, started] {
            let body = read_all(address, response.into_body(), 100, deadline()).await;
            assert_eq!(body.unwrap(), "one two");
        }
        task.await.unwrap();
        assert!(handle.is_stopping());
        assert!(client.call(address, get("/"), deadline()).await.is_err());
    });
}

#[test]
fn a_stop_serves_connections_waiting_in_the_kernel() {
    run(async {
        let (address, handle, task) = serve(|_, _| async { Response::new(Body::full("hello")) });
        // The event loop does not run before the stop, so the server has not accepted the connection yet.
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .unwrap();
        handle.stop(deadline());
        task.await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        assert!(text.ends_with("hello"), "{text}");
    });
}

/// Regression: a connection on which nothing had arrived was closed without an answer.
#[test]
fn a_stop_serves_the_first_request_of_a_connection_that_was_just_accepted() {
    run(async {
        let (address, handle, task) = serve(|_, _| async { Response::new(Body::full("hello")) });
        let mut stream = Stream::connect(address).await.unwrap();
        while handle.connections() == 0 {
            sleep_ms(1).await;
        }
        handle.stop(deadline());
        sleep_ms(50).await;
        write(&mut stream, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await;
        let (text, end) = read_to_end(&mut stream).await;
        assert!(text.ends_with("hello"), "{text:?}");
        assert!(text.contains("connection: close"), "{text}");
        end.unwrap();
        task.await.unwrap();
    });
}

/// Sends requests, each on a connection of its own, until connections are refused. Returns the number of answers.
fn call_until_refused(address: SocketAddr) -> io::Result<usize> {
    let mut answers = 0;
    loop {
        let mut stream = match TcpStream::connect(address) {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Ok(answers),
            Err(error) => return Err(error),
        };
        stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        if !text.ends_with("hello") {
            return Err(io::Error::other(text));
        }
        answers += 1;
    }
}

#[test]
fn a_stop_under_load_resets_no_established_connection() {
    /// A single stop seldom meets a connection between the last accept and the close of the listener.
    const STOPS: usize = 100;
    const CALLERS: usize = 6;
    let mut callers = Vec::new();
    run(async {
        let mut tasks = Vec::new();
        for _ in 0..STOPS {
            let (address, handle, task) =
                serve(|_, _| async { Response::new(Body::full("hello")) });
            callers
                .extend((0..CALLERS).map(|_| thread::spawn(move || call_until_refused(address))));
            sleep_ms(10).await;
            handle.stop(deadline());
            tasks.push(task);
        }
        for task in tasks {
            task.await.unwrap();
        }
    });
    for caller in callers {
        let answers = caller.join().unwrap();
        assert!(answers.is_ok(), "{answers:?}");
    }
}

#[test]
fn a_stop_resets_connections_open_at_its_deadline() {
    run(async {
        let (address, handle, task) = serve(|_, _| async {
            let (sender, body) = Body::channel();
            compio::runtime::spawn(async move { sender.closed().await }).detach();
            Response::new(body)
        });
        let response = Client::default()
            .call(address, get("/"), deadline())
            .await
            .unwrap();
        let mut reader = Reader::new(address, response.into_body());
        handle.stop(Instant::now() + Duration::from_millis(20));
        reader.next_chunk(deadline()).await.unwrap_err();
        task.await.unwrap();
        assert_eq!(handle.cut_connections(), 1);
    });
}

/// A response that its caller read too slowly was reset at the deadline, and nothing told of it.
#[test]
fn responses_that_are_still_being_sent_at_the_deadline_are_counted() {
    run(async {
        let (address, handle, task) = serve(|request, _| async move {
            if request.uri().path() != "/long" {
                return Response::new(Body::full("short"));
            }
            let (sender, body) = Body::channel();
            // Longer than what the buffers of the kernel take, as it ends with the connection. All chunks share their memory.
            compio::runtime::spawn(async move {
                let chunk = bytes::Bytes::from(vec![b'x'; 64 * 1024]);
                while sender.send(chunk.clone()).await.is_ok() {}
            })
            .detach();
            Response::new(body)
        });
        let client = Client::default();
        let short = client.call(address, get("/"), deadline()).await.unwrap();
        let body = read_all(address, short.into_body(), 100, deadline()).await;
        assert_eq!(body.unwrap(), "short");
        let _long = client
            .call(address, get("/long"), deadline())
            .await
            .unwrap();
        handle.stop(Instant::now() + Duration::from_millis(50));
        task.await.unwrap();
        assert_eq!(handle.cut_connections(), 1);
    });
}

#[test]
fn slow_and_long_headers_are_rejected() {
    run(async {
        let listener = listener();
        let address = listener.address();
        let server = Server::new(listener).with_limits(Limits {
            header_timeout: Duration::from_millis(30),
            max_header_bytes: 8192,
            ..Limits::default()
        });
        let _task =
            compio::runtime::spawn(server.serve(|_, _| async { Response::new(Body::default()) }));
        let mut slow = Stream::connect(address).await.unwrap();
        write(&mut slow, b"GET / HTTP/1.1\r\n").await;
        let (text, _) = read_to_end(&mut slow).await;
        assert!(!text.contains("200"), "{text}");
        let mut long = Stream::connect(address).await.unwrap();
        write(
            &mut long,
            format!("GET / HTTP/1.1\r\nx: {}", "x".repeat(8192)).as_bytes(),
        )
        .await;
        let (text, end) = read_to_end(&mut long).await;
        assert!(text.starts_with("HTTP/1.1 431 "), "{text}");
        assert!(end.is_ok() || end.unwrap_err().kind() == ErrorKind::ConnectionReset);
    });
}

#[test]
fn connections_over_the_limit_wait() {
    run(async {
        let listener = listener();
        let address = listener.address();
        let server = Server::new(listener).with_limits(Limits {
            max_connections: 1,
            ..Limits::default()
        });
        let handle = server.handle();
        let _task = compio::runtime::spawn(
            server.serve(|_, _| async { Response::new(Body::full("hello")) }),
        );
        let first = Stream::connect(address).await.unwrap();
        let mut second = Stream::connect(address).await.unwrap();
        write(&mut second, b"GET / HTTP/1.0\r\n\r\n").await;
        sleep_ms(20).await;
        assert_eq!(handle.connections(), 1);
        drop(first);
        let (text, _) = read_to_end(&mut second).await;
        assert!(text.ends_with("hello"), "{text}");
    });
}
