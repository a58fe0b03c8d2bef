use std::time::Duration;

use comfreyroad_fakes::log::{Service, Settings};
use futures_util::future::join;
use serde_json::json;

use crate::client::{Client, run};

const APPEND: &str = "/v1/streams/rules/append";
const READ: &str = "/v1/streams/rules/read";

fn start(settings: Settings) -> Client {
    Client::start(Service::new(settings))
}

#[test]
fn offsets_increase_and_retention_drops_the_oldest_records() {
    run(async {
        let log = start(Settings {
            max_records: 3,
            ..Settings::default()
        });
        let first = log
            .post(APPEND, json!({ "records": ["YQ==", "Yg=="] }))
            .await
            .json();
        assert_eq!(first, json!({ "first": 0, "next": 2 }));
        let second = log
            .post(APPEND, json!({ "records": ["Yw==", "ZA=="] }))
            .await
            .json();
        assert_eq!(second, json!({ "first": 2, "next": 4 }));
        let page = log.get(&format!("{READ}?from=0&limit=2")).await;
        assert_eq!((&page["oldest"], &page["next"]), (&json!(1), &json!(4)));
        assert_eq!(page["records"][0]["body"], "Yg==");
        assert_eq!(page["records"].as_array().unwrap().len(), 2);
    });
}

#[test]
fn an_append_wakes_a_waiting_read() {
    run(async {
        let log = start(Settings::default());
        let path = format!("{READ}?from=0&wait_ms=5000");
        let read = log.get(&path);
        let append = async {
            compio::time::sleep(Duration::from_millis(30)).await;
            log.post(APPEND, json!({ "records": ["YQ=="] })).await
        };
        let (page, _) = join(read, append).await;
        assert_eq!(page["records"][0]["offset"], 0);
    });
}

#[test]
fn appends_over_the_rate_limit_or_in_an_outage_are_not_stored() {
    run(async {
        let log = start(Settings {
            appends_per_second: 1.0,
            ..Settings::default()
        });
        let record = json!({ "records": ["YQ=="] });
        assert_eq!(log.post(APPEND, record.clone()).await.status, 200);
        assert_eq!(log.post(APPEND, record.clone()).await.status, 429);
        log.post("/faults", json!({ "refuse": 1 })).await;
        assert_eq!(log.post(APPEND, record.clone()).await.status, 503);
        log.post("/faults", json!({ "outage_ms": 60_000 })).await;
        assert_eq!(log.post(APPEND, record).await.status, 503);
        let journal = log.get("/journal").await;
        assert_eq!(
            (&journal["appends"], &journal["limited"]),
            (&json!(1), &json!(1))
        );
    });
}

#[test]
fn an_append_with_a_lost_answer_is_stored() {
    run(async {
        let log = start(Settings::default());
        log.post("/faults", json!({ "lose_answers": 1 })).await;
        let answer = log.try_post(APPEND, json!({ "records": ["YQ=="] })).await;
        assert!(answer.is_none());
        assert_eq!(log.get(&format!("{READ}?from=0")).await["next"], 1);
    });
}

#[test]
fn a_lost_append_fault_stores_the_append_and_does_not_affect_reads() {
    run(async {
        let log = start(Settings::default());
        log.post("/faults", json!({ "lose_appends": 1 })).await;
        assert_eq!(log.get(&format!("{READ}?from=0")).await["next"], 0);
        let append = json!({ "records": ["YQ=="] });
        assert!(log.try_post(APPEND, append.clone()).await.is_none());
        assert_eq!(log.post(APPEND, append).await.json()["first"], 1);
    });
}
