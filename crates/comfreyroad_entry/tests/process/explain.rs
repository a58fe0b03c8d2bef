//! `GET /explain/REQUEST-ID` tells what became of a request, and keeps secrets.

use comfreyroad_net::runtime;
use serde_json::Value;

use crate::site::Site;

#[test]
fn a_request_is_explained_without_bodies_or_keys() {
    runtime::run(async {
        let site = Site::start().await;
        let answer = site.chat("r 1/ä", 5).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => panic!("{error}"),
        };
        assert_eq!(answer.status(), 400, "ids are visible ASCII");
        let answer = site.chat("r/1", 5).await.expect("an answer");
        site.read(answer).await.expect("a body");
        let (status, tale) = site.get("/explain/r%2F1").await.expect("an answer");
        assert_eq!(status, 200);
        let text = String::from_utf8_lossy(&tale).into_owned();
        assert!(!text.contains("secret") && !text.contains("tok0"), "{text}");
        let tale: Value = serde_json::from_slice(&tale).expect("JSON");
        let steps = tale["calls"][0]["steps"].as_array().expect("steps");
        let sent = steps
            .iter()
            .find(|step| step["said"] == "sent")
            .expect("a sending");
        assert_eq!(sent["version"], "mona@1");
        assert_eq!(sent["generation"], 1);
        assert!(steps.iter().any(|step| step["said"] == "answered"));
        let unknown = site.get("/explain/other").await.map(|(status, _)| status);
        assert_eq!(unknown, Some(404));
    })
    .expect("a loop");
}
