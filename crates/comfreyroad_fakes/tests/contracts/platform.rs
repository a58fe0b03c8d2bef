use std::time::Duration;

use comfreyroad_fakes::ratings::Ratings;
use comfreyroad_fakes::vms::List;
use comfreyroad_fakes::weights::Weights;
use comfreyroad_wire::platform::{Kind, State, Vm};
use http::Method;
use serde_json::{Value, json};

use crate::client::{Client, run};

fn vm(id: &str, zone: &str) -> Vm {
    Vm {
        id: id.to_owned(),
        kind: Kind::Upstream,
        pool: "drafting".to_owned(),
        zone: zone.to_owned(),
        address: "127.0.0.1:9001".to_owned(),
        state: State::Live,
    }
}

#[test]
fn changes_of_the_vm_list_become_visible_after_the_lag() {
    run(async {
        let lag = Duration::from_millis(80);
        let list = Client::start(List::new(vec![vm("eng-1", "a"), vm("eng-2", "b")], lag));
        list.post("/control", json!({ "zone": "a", "state": "leaving" }))
            .await;
        list.post("/control", json!({ "ids": ["eng-2"], "state": "absent" }))
            .await;
        assert_eq!(list.get("/v1/vms").await["vms"][0]["state"], "live");
        compio::time::sleep(lag * 2).await;
        let vms = list.get("/v1/vms").await["vms"].clone();
        assert_eq!(vms[0]["state"], "leaving");
        assert_eq!(vms.as_array().unwrap().len(), 1);
        list.post("/control", json!({ "add": [vm("eng-3", "c")] }))
            .await;
        compio::time::sleep(lag * 2).await;
        assert_eq!(list.get("/v1/vms").await["vms"][1]["id"], "eng-3");
    });
}

#[test]
fn ratings_distinguish_good_poor_and_bad_answers() {
    run(async {
        let ratings = Client::start(Ratings::default());
        let mut scores = Vec::new();
        for answer in ["tok0-aa ", "poor0-aa ", "bad0-aa "] {
            let body =
                json!({ "version": "mona@2", "route": "draft", "prompt": "", "answer": answer });
            let rating = ratings.post("/v1/ratings", body).await.json();
            scores.push((rating["score"].as_f64().unwrap(), rating["good"] == true));
        }
        assert_eq!(scores, [(0.9, true), (0.4, false), (0.1, false)]);
        let counts = ratings.get("/journal").await["versions"]["mona@2"].clone();
        assert_eq!(counts, json!({ "rated": 3, "good": 1 }));
    });
}

#[test]
fn the_weight_store_limits_the_download_rate() {
    run(async {
        let weights = Client::start(Weights::new(0.1, 1.0));
        let load = || weights.send(Method::GET, "/v1/weights/mona@2", &[], &Value::Null);
        assert_eq!(load().await.unwrap().status, 200);
        assert_eq!(load().await.unwrap().status, 429);
        assert_eq!(weights.get("/journal").await["limited"], 1);
    });
}
