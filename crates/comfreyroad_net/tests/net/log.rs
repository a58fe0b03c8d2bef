use std::{cell::Cell, rc::Rc, time::Instant};

use comfreyroad_net::{
    body::Body,
    client::Client,
    platform::{AppendError, Log, Record},
};
use http::{Response, StatusCode};

use crate::support::{deadline, listener, run, serve};

fn response(status: StatusCode, text: &'static str) -> Response<Body> {
    let response = Response::builder()
        .status(status)
        .header("retry-after", "2");
    response.body(Body::full(text)).unwrap()
}

#[test]
fn records_are_appended_and_read() {
    run(async {
        let (address, _handle, _task) = serve(|request, _| async move {
            match request.uri().path() {
                "/v1/streams/rules/append" => response(StatusCode::OK, r#"{"first":17,"next":19}"#),
                path => {
                    assert_eq!(path, "/v1/streams/rules/read");
                    assert_eq!(request.uri().query(), Some("from=5&limit=9&wait_ms=0"));
                    let page = r#"{"oldest":5,"next":6,"records":[{"offset":5,"at_ms":1000,"body":"aGk="}]}"#;
                    response(StatusCode::OK, page)
                }
            }
        });
        let log = Log::new(Client::default(), address);
        let appended = log
            .append("rules", &[b"a".to_vec(), b"b".to_vec()], deadline())
            .await;
        assert_eq!(appended.unwrap().next, 19);
        let page = log
            .read("rules", 5, 9, Instant::now(), deadline())
            .await
            .unwrap();
        let record = Record {
            offset: 5,
            at: std::time::UNIX_EPOCH + std::time::Duration::from_secs(1),
            bytes: b"hi".to_vec(),
        };
        assert_eq!((page.oldest, page.next, page.records), (5, 6, vec![record]));
    });
}

#[test]
fn a_failed_append_is_unclear_unless_it_was_rejected() {
    run(async {
        let status = Rc::new(Cell::new(StatusCode::OK));
        let given = status.clone();
        let (address, _handle, _task) = serve(move |_, _| {
            let given = given.clone();
            async move { response(given.get(), "?") }
        });
        let log = Log::new(Client::default(), address);
        for (code, rejected) in [(429, true), (503, true), (500, false), (200, false)] {
            status.set(StatusCode::from_u16(code).unwrap());
            let error = log
                .append("claims", &[Vec::new()], deadline())
                .await
                .unwrap_err();
            let not_appended = matches!(
                error,
                AppendError::NotAppended {
                    retry_at: Some(_),
                    ..
                }
            );
            assert_eq!(not_appended, rejected, "{code}");
        }
        let unreachable = Log::new(Client::default(), listener().address());
        let error = unreachable
            .append("claims", &[Vec::new()], deadline())
            .await
            .unwrap_err();
        assert!(matches!(
            error,
            AppendError::NotAppended { retry_at: None, .. }
        ));
    });
}
