//! Responses that come before their request's body has been sent.

use std::{future::poll_fn, pin::Pin, time::Duration};

use comfreyroad_net::{
    body::Body,
    client::{Client, Error, Reader},
    stream::Stream,
};
use http::Request;
use hyper::rt::Write;

use crate::support::{deadline, listener, read, run, sleep_ms, write};

/// More than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
/// A response without a length, which ends with its connection, and one after an interim response.
const UNFRAMED: [&str; 2] = [
    "HTTP/1.1 200 OK\r\n\r\nabc",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc",
];

/// How a peer ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// With a reset, after a time.
    Reset(Duration),
    /// With a FIN, and a reset after a time.
    FinThenReset(Duration),
}

/// The body that a client gets from a peer that responds with `text` before it has read the request, and ends its connection.
async fn early_response(text: &'static str, end: End) -> Result<String, Error> {
    let listener = listener();
    let address = listener.address();
    let peer = compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await;
        read(&mut stream).await.unwrap();
        write(&mut stream, text.as_bytes()).await;
        end_connection(stream, end).await;
    });
    let request = Request::post("/");
    let request = request.body(Body::full(vec![0; UPLOAD_BYTES])).unwrap();
    let response = Client::default().call(address, request, deadline()).await;
    let body = match response {
        Ok(response) => {
            // The rest of the response waits meanwhile, as for a caller that reads slowly.
            sleep_ms(10).await;
            let reader = Reader::new(address, response.into_body());
            reader.read_to_end(1024, deadline()).await
        }
        Err(error) => Err(error),
    };
    peer.await.unwrap();
    body.map(|body| String::from_utf8(body.to_vec()).unwrap())
}

async fn end_connection(mut stream: Stream, end: End) {
    let after = match end {
        End::Reset(after) => after,
        End::FinThenReset(after) => {
            poll_fn(|cx| Pin::new(&mut stream).poll_shutdown(cx))
                .await
                .unwrap();
            after
        }
    };
    compio::time::sleep(after).await;
    stream.reset().unwrap();
}

/// Regression: a response without a length was taken for complete at the end of its connection, though the peer had not read the request
/// and reset the connection while it was being sent.
#[test]
fn an_unframed_response_that_ends_during_the_upload_is_an_error() {
    run(async {
        for text in UNFRAMED {
            for millis in [0, 1, 4, 20] {
                let after = Duration::from_millis(millis);
                for end in [End::Reset(after), End::FinThenReset(after)] {
                    let body = early_response(text, end).await;
                    assert!(body.is_err(), "{end:?}: {body:?}");
                }
            }
        }
    });
}

/// The length tells that it is complete, however the connection ends.
#[test]
fn a_framed_response_is_complete_before_the_upload_ends() {
    run(async {
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
        let end = End::FinThenReset(Duration::from_millis(20));
        assert_eq!(early_response(text, end).await.unwrap(), "abc");
    });
}

/// The end of the connection is the end of the response once the request has been sent.
#[test]
fn an_unframed_response_after_the_upload_is_complete() {
    run(async {
        for length in [0, 1, 300_000] {
            let listener = listener();
            let address = listener.address();
            let peer = compio::runtime::spawn(async move {
                let (mut stream, _) = listener.accept().await;
                let mut received = read(&mut stream).await.unwrap().len();
                while received < length {
                    received += read(&mut stream).await.unwrap().len();
                }
                write(&mut stream, UNFRAMED[0].as_bytes()).await;
            });
            let request = Request::post("/").body(Body::full(vec![0; length]));
            let client = Client::default();
            let response = client.call(address, request.unwrap(), deadline()).await;
            let reader = Reader::new(address, response.unwrap().into_body());
            let body = reader.read_to_end(1024, deadline()).await;
            assert_eq!(body.unwrap(), "abc", "{length} bytes");
            peer.await.unwrap();
        }
    });
}

/// Not a status at all, with and without a length, before the upload and without one.
#[test]
fn a_response_whose_status_is_zero_is_an_error() {
    run(async {
        for text in [
            "HTTP/1.1 000 \r\n\r\nabc",
            "HTTP/1.1 000 OK\r\ncontent-length: 3\r\n\r\nabc",
            "HTTP/1.1 099 OK\r\ncontent-length: 3\r\n\r\nabc",
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n\r\nabc",
        ] {
            let body = early_response(text, End::FinThenReset(Duration::ZERO)).await;
            assert!(body.is_err(), "{text}: {body:?}");
        }
    });
}
