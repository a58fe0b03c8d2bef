use std::time::{Duration, Instant};

use comfreyroad_fakes::answer;
use comfreyroad_fakes::chat::{Chat, Message};
use comfreyroad_fakes::engine::{Fencing, Service, Settings};
use comfreyroad_fakes::load::Events;
use comfreyroad_fakes::slots::Capacity;
use comfreyroad_fakes::weights::Weights;
use futures_util::future::{join, join_all};
use http::Method;
use serde_json::{Value, json};

use crate::client::{Answer, Client, run};

const CHAT: &str = "/v1/chat/completions";

fn settings() -> Settings {
    Settings {
        id: "eng-1".to_owned(),
        versions: vec!["mona@2".to_owned()],
        token_time: Duration::from_millis(2),
        event_gaps: 0.0,
        event_lag: Duration::ZERO,
        load_time: Duration::ZERO,
        ..Settings::default()
    }
}

fn start(settings: Settings) -> Client {
    Client::start(Service::new(settings, fastrand::Rng::with_seed(1)))
}

fn chat(text: &str, max_tokens: u32, stream: bool) -> Chat {
    let messages = vec![
        Message::new("system", "context"),
        Message::new("user", text),
    ];
    Chat {
        model: "mona@2".to_owned(),
        messages,
        max_tokens,
        stream,
    }
}

fn text(chat: &Chat) -> String {
    answer::Answer::new(chat.hash(), chat.max_tokens).text(0)
}

fn content(answer: &Answer) -> String {
    answer.json()["choices"][0]["message"]["content"]
        .as_str()
        .unwrap()
        .to_owned()
}

async fn ask(engine: &Client, chat: &Chat, headers: &[(&str, &str)]) -> Option<Answer> {
    engine.send(Method::POST, CHAT, headers, &json!(chat)).await
}

#[test]
fn streamed_and_whole_answers_have_the_same_text() {
    run(async {
        let engine = start(settings());
        let whole = ask(&engine, &chat("hello", 5, false), &[]).await.unwrap();
        let stream = ask(&engine, &chat("hello", 5, true), &[]).await.unwrap();
        let mut events = Events::default();
        events.push(stream.text.as_bytes());
        assert!(events.is_done());
        assert_eq!(events.text(), Some(content(&whole).as_str()));
        assert_eq!(content(&whole), text(&chat("hello", 5, false)));
    });
}

#[test]
fn a_resumed_stream_skips_the_first_tokens() {
    run(async {
        let engine = start(settings());
        let headers = [("x-resume-offset", "3"), ("x-attempt-id", "a1")];
        let stream = ask(&engine, &chat("hello", 5, true), &headers)
            .await
            .unwrap()
            .text;
        assert!(!stream.contains("tok2-") && stream.contains("tok3-") && stream.contains("tok4-"));
        assert!(stream.contains("\"offset\":3") && stream.contains("\"id\":\"a1\""));
        assert!(stream.ends_with("data: [DONE]\n\n"));
    });
}

#[test]
fn a_version_that_is_not_loaded_is_not_found() {
    run(async {
        let engine = start(settings());
        let other = Chat {
            model: "mona@3".to_owned(),
            ..chat("hello", 5, false)
        };
        assert_eq!(ask(&engine, &other, &[]).await.unwrap().status, 404);
        assert_eq!(engine.get("/journal").await["requests"], json!({}));
    });
}

#[test]
fn a_cold_engine_crashes_above_its_capacity() {
    run(async {
        let capacity = Capacity {
            slots: 8,
            cold_slots: 1,
            warm_up: Duration::from_secs(60),
            queue: 8,
        };
        let engine = start(Settings {
            capacity,
            ..settings()
        });
        let long = chat("long", 100, true);
        let answers = join_all([ask(&engine, &long, &[]), ask(&engine, &long, &[])]).await;
        let statuses: Vec<_> = answers
            .iter()
            .flatten()
            .map(|answer| answer.status)
            .collect();
        assert_eq!(statuses, [503]);
        let journal = engine.get("/journal").await;
        assert_eq!(
            (&journal["falls"], &journal["broken"]),
            (&json!(1), &json!(1))
        );
        assert_eq!(journal["boot"], "eng-1-2");
    });
}

#[test]
fn the_queue_serves_by_priority() {
    run(async {
        let capacity = Capacity {
            slots: 1,
            cold_slots: 1,
            ..Capacity::default()
        };
        let engine = start(Settings {
            capacity,
            ..settings()
        });
        let ask_as = async |wait, id, priority| {
            compio::time::sleep(Duration::from_millis(wait)).await;
            let headers = [("x-request-id", id), ("x-priority", priority)];
            ask(&engine, &chat(id, 40, false), &headers).await
        };
        join_all([
            ask_as(0, "first", "1"),
            ask_as(20, "later", "1"),
            ask_as(40, "urgent", "0"),
        ])
        .await;
        let journal = engine.get("/journal").await;
        let order: Vec<_> = journal["requests"]
            .as_object()
            .unwrap()
            .keys()
            .cloned()
            .collect();
        // The keys of the JSON object are sorted, so the order of execution is read from the prefix cache events.
        assert_eq!(order, ["first", "later", "urgent"]);
        let events = engine.get("/v1/cache/events?from=0").await["events"].clone();
        let stored: Vec<_> = events
            .as_array()
            .unwrap()
            .iter()
            .map(|event| event["prefix"].clone())
            .collect();
        let position = |id| {
            let mut chat = chat(id, 40, false);
            chat.messages.push(Message::new("assistant", text(&chat)));
            stored
                .iter()
                .position(|prefix| *prefix == chat.hash().as_str())
                .unwrap()
        };
        assert!(position("first") < position("urgent") && position("urgent") < position("later"));
    });
}

#[test]
fn cancellations_and_faults_end_streams_without_the_end_marker() {
    run(async {
        let engine = start(settings());
        let cancel = async {
            compio::time::sleep(Duration::from_millis(40)).await;
            engine.post("/v1/cancel", json!({ "attempt": "a1" })).await
        };
        let headers = [("x-attempt-id", "a1")];
        let long = chat("long", 1000, true);
        let (stream, _) = join(ask(&engine, &long, &headers), cancel).await;
        assert!(stream.is_none());
        engine
            .post("/faults", json!({ "break_streams": 1, "break_after": 2 }))
            .await;
        assert!(ask(&engine, &chat("short", 5, true), &[]).await.is_none());
        assert!(ask(&engine, &chat("short", 5, true), &[]).await.is_some());
        let journal = engine.get("/journal").await;
        let ended = (
            &journal["cancelled"],
            &journal["broken"],
            &journal["finished"],
        );
        assert_eq!(ended, (&json!(1), &json!(1), &json!(1)));
    });
}

#[test]
fn a_stall_delays_streams_without_breaking_them() {
    run(async {
        let engine = start(settings());
        engine.post("/faults", json!({ "stall_ms": 150 })).await;
        let asked_at = Instant::now();
        assert!(ask(&engine, &chat("short", 5, true), &[]).await.is_some());
        assert!(asked_at.elapsed() >= Duration::from_millis(100));
    });
}

#[test]
fn tokens_encode_the_quality_and_a_fault_makes_it_bad() {
    run(async {
        let good_share = [("mona@2".to_owned(), 0.5)].into_iter().collect();
        let engine = start(Settings {
            good_share,
            ..settings()
        });
        let mut good = 0;
        for index in 0..40 {
            let answer = ask(&engine, &chat(&format!("question {index}"), 1, false), &[]).await;
            good += usize::from(content(&answer.unwrap()).starts_with("tok"));
        }
        assert!((8..32).contains(&good), "{good} of 40 are good");
        engine
            .post("/faults", json!({ "bad_version": "mona@2" }))
            .await;
        let answer = ask(&engine, &chat("question", 1, false), &[])
            .await
            .unwrap();
        assert!(content(&answer).starts_with("bad0-"));
    });
}

#[test]
fn the_next_turn_hits_the_prefix_cache_and_kv_can_be_transferred() {
    run(async {
        let engine = start(settings());
        let mut turn = chat("hello", 5, false);
        let first = ask(&engine, &turn, &[]).await.unwrap();
        turn.messages
            .push(Message::new("assistant", content(&first)));
        let prefix = turn.hash();
        turn.messages.push(Message::new("user", "more"));
        let second = ask(&engine, &turn, &[]).await.unwrap().json();
        assert_eq!(second["usage"]["cached_tokens"], turn.prefixes()[2].tokens);
        let kv = engine.get(&format!("/v1/kv/{prefix}")).await;
        let other = start(settings());
        let path = format!("/v1/kv/{prefix}");
        assert_eq!(other.post(&path, kv).await.status, 200);
        let events = other.get("/v1/cache/events?from=0").await;
        assert_eq!(events["events"][0]["prefix"], prefix);
        assert_eq!(events["next"], 2);
    });
}

#[test]
fn stale_fencing_tokens_are_refused_unless_ignored() {
    run(async {
        let order =
            |fence| json!({ "fence": fence, "load": ["mona@3"], "unload": [], "role": "both" });
        let checked = start(settings());
        assert_eq!(checked.post("/v1/orders", order(12)).await.status, 200);
        let refused = checked.post("/v1/orders", order(11)).await;
        assert_eq!(
            (refused.status, refused.json()),
            (409, json!({ "fence": 12 }))
        );
        let ignored = start(Settings {
            fencing: Fencing::Ignored,
            ..settings()
        });
        assert_eq!(ignored.post("/v1/orders", order(12)).await.status, 200);
        assert_eq!(ignored.post("/v1/orders", order(11)).await.status, 200);
        assert_eq!(ignored.get("/journal").await["orders"], json!([12, 11]));
    });
}

#[test]
fn a_version_loads_from_the_weight_store() {
    run(async {
        let weights = Client::start(Weights::default());
        let engine = start(Settings {
            weights: Some(weights.address()),
            ..settings()
        });
        let order = json!({ "fence": 1, "load": ["mona@3"], "unload": ["mona@2"], "role": "" });
        let state = engine.post("/v1/orders", order).await.json();
        assert_eq!(
            (&state["loaded"], &state["loading"]),
            (&json!([]), &json!(["mona@3"]))
        );
        let mut loaded = Value::Null;
        for _ in 0..100 {
            loaded = engine.get("/v1/orders").await["loaded"].clone();
            if loaded == json!(["mona@3"]) {
                break;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(loaded, json!(["mona@3"]));
        assert_eq!(weights.get("/journal").await["served"]["mona@3"], 1);
    });
}
