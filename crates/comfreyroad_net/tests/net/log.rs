use std::{cell::Cell, rc::Rc, time::Instant};

use comfreyroad_net::{
    body::Body,
    client::Client,
    platform::{AppendError, Log, Record},
};
use http::{Response, StatusCode};

use crate::support::{listener, run, serve, soon};

fn answer(status: StatusCode, text: &'static str) -> Response<Body> {
    let answer = Response::builder()
        .status(status)
        .header("retry-after", "2");
    answer.body(Body::full(text)).unwrap()
}

#[test]
fn records_go_out_and_come_back() {
    run(async {
        let (address, _handle, _served) = serve(|request, _| async move {
            match request.uri().path() {
                "/v1/streams/rules/append" => answer(StatusCode::OK, r#"{"first":17,"next":19}"#),
                path => {
                    assert_eq!(path, "/v1/streams/rules/read");
                    assert_eq!(request.uri().query(), Some("from=5&limit=9&wait_ms=0"));
                    let page = r#"{"oldest":5,"next":6,"records":[{"offset":5,"at_ms":1000,"body":"aGk="}]}"#;
                    answer(StatusCode::OK, page)
                }
            }
        });
        let log = Log::new(Client::default(), address);
        let appended = log
            .append("rules", &[b"a".to_vec(), b"b".to_vec()], soon())
            .await;
        assert_eq!(appended.unwrap().next, 19);
        let page = log
            .read("rules", 5, 9, Instant::now(), soon())
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
fn an_append_that_fails_is_unclear_unless_it_was_refused() {
    run(async {
        let status = Rc::new(Cell::new(StatusCode::OK));
        let given = status.clone();
        let (address, _handle, _served) = serve(move |_, _| {
            let given = given.clone();
            async move { answer(given.get(), "?") }
        });
        let log = Log::new(Client::default(), address);
        for (given, refused) in [(429, true), (503, true), (500, false), (200, false)] {
            status.set(StatusCode::from_u16(given).unwrap());
            let error = log
                .append("claims", &[Vec::new()], soon())
                .await
                .unwrap_err();
            let taken = matches!(
                error,
                AppendError::NotAppended {
                    retry_at: Some(_),
                    ..
                }
            );
            assert_eq!(taken, refused, "{given}");
        }
        let gone = Log::new(Client::default(), listener().address());
        let error = gone
            .append("claims", &[Vec::new()], soon())
            .await
            .unwrap_err();
        assert!(matches!(
            error,
            AppendError::NotAppended { retry_at: None, .. }
        ));
    });
}
