use std::time::Duration;

use comfreyroad_fakes::engine::{self, Settings};
use comfreyroad_fakes::load::{Driver, Events, Options};
use comfreyroad_fakes::service;
use serde_json::{Value, json};

use crate::client::{Client, run};

async fn drive(client: &Client, more: &[&str]) -> Value {
    let address = client.address();
    let mut args = vec![
        "--to",
        &address,
        "--seconds",
        "5",
        "--rate",
        "200",
        "--requests",
        "20",
    ];
    args.extend([
        "--draft-model",
        "mona@2",
        "--whole-model",
        "mona@2",
        "--max-tokens",
        "8",
    ]);
    args.extend(more);
    let args: Vec<_> = args.into_iter().map(str::to_owned).collect();
    Driver::new(Options::parse(&args).unwrap())
        .unwrap()
        .run()
        .await
        .unwrap()
}

fn start_engine() -> Client {
    let versions = vec!["mona@2".to_owned()];
    let settings = Settings {
        versions,
        token_time: Duration::from_millis(1),
        ..Settings::default()
    };
    Client::start(engine::Service::new(settings, fastrand::Rng::with_seed(1)))
}

#[test]
fn whole_answers_are_counted_as_whole() {
    run(async {
        let engine = start_engine();
        let counts = drive(&engine, &["--bookings", "0", "--lookups", "0"]).await;
        assert_eq!(
            (&counts["requests"], &counts["whole"]),
            (&json!(20), &json!(20))
        );
        let service = Client::start(service::Service::new(service::Settings::default()));
        let counts = drive(&service, &["--bookings", "50", "--lookups", "50"]).await;
        assert_eq!(counts["whole"], 20);
        assert_eq!(service.get("/journal").await["doubled"], 0);
    });
}

#[test]
fn broken_streams_and_refusals_are_counted_separately() {
    run(async {
        let engine = start_engine();
        engine
            .post("/faults", json!({ "break_streams": 3, "break_after": 2 }))
            .await;
        let chats = ["--bookings", "0", "--lookups", "0", "--drafts", "100"];
        let counts = drive(&engine, &chats).await;
        assert_eq!(
            (&counts["broken"], &counts["whole"]),
            (&json!(3), &json!(17))
        );
        engine.post("/faults", json!({ "outage_ms": 60_000 })).await;
        let counts = drive(&engine, &["--retries", "1"]).await;
        assert_eq!(counts["refused_maybe"], 20);
        assert_eq!(counts["whole"], 0);
    });
}

#[test]
fn bookings_are_not_retried_when_they_may_have_run() {
    run(async {
        let service = Client::start(service::Service::new(service::Settings::default()));
        service.post("/faults", json!({ "lose_answers": 2 })).await;
        let counts = drive(&service, &["--bookings", "100", "--lookups", "0"]).await;
        assert_eq!(
            (&counts["refused_maybe"], &counts["whole"]),
            (&json!(2), &json!(18))
        );
        let journal = service.get("/journal").await;
        assert_eq!(journal["doubled"], 0);
        assert_eq!(journal["bookings"].as_object().unwrap().len(), 20);
    });
}

#[test]
fn tokens_out_of_order_yield_no_text() {
    let event = |offset, content| {
        format!(
            "data: {}\n\n",
            json!({ "offset": offset, "choices": [{ "delta": { "content": content } }] })
        )
    };
    let mut events = Events::default();
    events.push(event(0, "tok0-a ").as_bytes());
    assert_eq!(events.text(), Some("tok0-a "));
    events.push(event(0, "tok0-a ").as_bytes());
    assert_eq!(events.text(), None);
}
