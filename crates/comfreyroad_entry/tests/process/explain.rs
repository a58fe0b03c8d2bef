//! Tests `GET /explain/REQUEST-ID`, which returns the trace of a request without secrets.

use comfreyroad_net::runtime;
use serde_json::Value;

use crate::site::Site;

#[test]
fn the_trace_of_a_request_has_no_bodies_and_no_keys() {
    runtime::run(async {
        let site = Site::start().await;
        let answer = site.chat("r 1/ä", 5).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => panic!("{error}"),
        };
        assert_eq!(answer.status(), 400, "request ids must be visible ASCII");
        let answer = site.chat("r/1", 5).await.expect("an answer");
        site.read(answer).await.expect("a body");
        let (status, body) = site.get("/explain/r%2F1").await.expect("an answer");
        assert_eq!(status, 200);
        let text = String::from_utf8_lossy(&body).into_owned();
        assert!(!text.contains("secret") && !text.contains("tok0"), "{text}");
        let trace: Value = serde_json::from_slice(&body).expect("JSON");
        let steps = trace["calls"][0]["steps"].as_array().expect("steps");
        let sent = steps
            .iter()
            .find(|step| step["said"] == "sent")
            .expect("a sent attempt");
        assert_eq!(sent["version"], "mona@1");
        assert_eq!(sent["generation"], 1);
        assert!(steps.iter().any(|step| step["said"] == "answered"));
        let unknown = site.get("/explain/other").await.map(|(status, _)| status);
        assert_eq!(unknown, Some(404));
    })
    .expect("a loop");
}
