use std::time::Duration;

use comfreyroad_fakes::service::{Service, Settings};
use comfreyroad_fakes::slots::Capacity;
use futures_util::future::join_all;
use http::Method;
use serde_json::{Value, json};

use crate::client::{Answer, Client, run};

async fn book(service: &Client, attempt: &str) -> Option<Answer> {
    let headers = [("x-request-id", "r1"), ("x-attempt-id", attempt)];
    service
        .send(Method::POST, "/bookings", &headers, &Value::Null)
        .await
}

#[test]
fn each_received_booking_is_executed() {
    run(async {
        let service = Client::start(Service::new(Settings::default()));
        assert_eq!(book(&service, "a1").await.unwrap().json()["booked"], "r1");
        service.post("/faults", json!({ "lose_answers": 1 })).await;
        assert!(book(&service, "a2").await.is_none());
        let journal = service.get("/journal").await;
        assert_eq!(journal["bookings"]["r1"], json!(["a1", "a2"]));
        assert_eq!(journal["doubled"], 1);
        assert_eq!(service.get("/orders/o7").await["order"], "o7");
    });
}

#[test]
fn a_cold_service_crashes_above_its_capacity() {
    run(async {
        let capacity = Capacity {
            slots: 8,
            cold_slots: 2,
            warm_up: Duration::from_secs(60),
            queue: 8,
        };
        let latency = Duration::from_millis(100);
        let settings = Settings {
            id: "ord-1".to_owned(),
            capacity,
            latency,
        };
        let service = Client::start(Service::new(settings));
        assert_eq!(service.get("/v1/load").await["boot"], "ord-1-1");
        let answers = join_all(["a1", "a2", "a3"].map(|attempt| book(&service, attempt))).await;
        let refused = answers
            .iter()
            .flatten()
            .filter(|answer| answer.status == 503)
            .count();
        assert_eq!((answers.iter().flatten().count(), refused), (1, 1));
        let journal = service.get("/journal").await;
        assert_eq!(
            (&journal["falls"], &journal["broken"]),
            (&json!(1), &json!(2))
        );
        assert_eq!(service.get("/v1/load").await["boot"], "ord-1-2");
    });
}

#[test]
fn a_lost_booking_is_executed_and_one_without_a_request_id_is_refused() {
    run(async {
        let service = Client::start(Service::new(Settings::default()));
        service.post("/faults", json!({ "lose_bookings": 1 })).await;
        assert!(
            service
                .send(Method::GET, "/stock/s1", &[], &Value::Null)
                .await
                .is_some()
        );
        assert!(book(&service, "a1").await.is_none());
        assert_eq!(service.post("/v1/cancel", json!({})).await.status, 400);
        let journal = service.get("/journal").await;
        assert_eq!(
            (&journal["bookings"]["r1"], &journal["strays"]),
            (&json!(["a1"]), &json!(1))
        );
    });
}
