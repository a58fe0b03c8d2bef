use std::net::SocketAddr;

use comfreyroad_net::{
    body::Body,
    client::{Cause, Client},
    platform::{FetchError, Ratings, Vms, Weights},
    upstream::{CacheEvents, Cancellations, LoadReports, OrderError, Orders},
};
use comfreyroad_wire::{engine, platform};
use http::Response;

use crate::support::{deadline, run, serve};

/// Runs a test against a server that answers like the services in `docs/INTERFACES.md`.
fn run_with_services<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr) -> F) {
    run(async {
        let (address, _handle, _task) = serve(|request, _| async move {
            let target = format!("{} {}", request.method(), request.uri());
            let (status, body) = match target.as_str() {
                "GET /v1/vms" => (200, r#"{"at_ms":1,"vms":[]}"#),
                "POST /v1/ratings" => (200, r#"{"score":0.5,"good":true}"#),
                "GET /v1/weights/mona@2" => (200, "weights"),
                "GET /v1/weights/mona@3" => (429, ""),
                "GET /v1/load" => {
                    let load = r#"{"at_ms":1,"boot":"b1","uptime_ms":9,"running":2,"waiting":0,"slots":8,"kv_used":0}"#;
                    (200, load)
                }
                "GET /v1/cache/events?from=6" => (200, r#"{"next":7,"events":[]}"#),
                "POST /v1/cancel" => (200, ""),
                "POST /v1/orders" => (409, r#"{"fence":13}"#),
                "GET /v1/orders" => (
                    200,
                    r#"{"fence":12,"loaded":[],"loading":[],"role":"both"}"#,
                ),
                _ => (404, ""),
            };
            let response = Response::builder()
                .status(status)
                .header("retry-after", "1");
            response.body(Body::full(body)).unwrap()
        });
        test(address).await;
    });
}

#[test]
fn platform_clients_parse_responses() {
    run_with_services(async |address| {
        let client = Client::default();
        let vms = Vms::new(client.clone(), address).list(deadline()).await;
        assert_eq!(vms.unwrap().at_ms, 1);
        let ratings = Ratings::new(client.clone(), address);
        let rating = ratings.rate(&platform::Answer::default(), deadline()).await;
        assert!(rating.unwrap().good);
        let weights = Weights::new(client, address);
        let mut reader = weights.fetch("mona@2", deadline()).await.unwrap();
        assert_eq!(
            reader.next_chunk(deadline()).await.unwrap().unwrap(),
            "weights"
        );
        let busy = weights.fetch("mona@3", deadline()).await;
        assert!(matches!(busy, Err(FetchError::Busy { retry_at: Some(_) })));
        let Err(FetchError::Call(error)) = weights.fetch("lisa@1", deadline()).await else {
            panic!("expected an error for an unknown version");
        };
        assert!(matches!(error.cause, Cause::Status(status) if status == 404));
    });
}

#[test]
fn upstream_clients_parse_responses() {
    run_with_services(async |address| {
        let client = Client::default();
        let load = LoadReports::new(client.clone())
            .get(address, deadline())
            .await;
        assert_eq!(load.unwrap().slots, 8);
        let events = CacheEvents::new(client.clone())
            .read(address, 6, deadline())
            .await;
        assert_eq!(events.unwrap().next, 7);
        Cancellations::new(client.clone())
            .send(address, "a1", deadline())
            .await
            .unwrap();
        let orders = Orders::new(client);
        let result = orders
            .send(address, &engine::Order::default(), deadline())
            .await;
        assert!(matches!(result, Err(OrderError::StaleFence { fence: 13 })));
        assert_eq!(orders.state(address, deadline()).await.unwrap().fence, 12);
    });
}
