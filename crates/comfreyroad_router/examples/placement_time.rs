//! Measures the time of a placement: `cargo run --release -p comfreyroad_router --example placement_time`.

// The tests use parts of the rig that this program does not.
#[path = "../tests/decisions/rig.rs"]
#[allow(dead_code)]
mod rig;

use std::time::Instant;

use comfreyroad_router::record::{Content, Topic};
use comfreyroad_router::request::Head;

use rig::{Rig, configuration_content, head, prompt, registration};

/// Numbers of upstreams for which the time is measured.
const SIZES: [usize; 4] = [25, 100, 800, 2_500];
const PLACEMENTS: u32 = 2_000;

fn main() {
    for size in SIZES {
        let mut rig = serving(size);
        let kinds: [(&str, &[(&str, u32)]); 2] = [
            ("prompt", &[("all", 500), ("book", 400), ("own", 300)]),
            ("plain", &[]),
        ];
        for (kind, parts) in kinds {
            let heads = (0..PLACEMENTS).map(|number| Head {
                prompt: prompt(parts),
                ..head(rig.now, "stream", &format!("r{number}"))
            });
            let planned: Vec<_> = heads
                .collect::<Vec<_>>()
                .into_iter()
                .map(|head| rig.admit(head).expect("the request is admitted"))
                .collect();
            let started_at = Instant::now();
            for request in planned {
                let placed = rig.router.place(rig.now, request);
                placed.expect("an upstream is free");
            }
            let each = started_at.elapsed() / PLACEMENTS;
            println!("{size} upstreams, {kind}: {each:?} a placement");
        }
    }
}

/// A router with a number of engines.
fn serving(engines: usize) -> Rig {
    let mut rig = Rig::empty("e1");
    rig.list(Topic::Operator, vec![("config", configuration_content(1))]);
    let names: Vec<String> = (0..engines).map(|number| format!("u{number}")).collect();
    let engine = || {
        let mut engine = registration("v1");
        engine.models = vec!["small".into(), "large".into()];
        Content::Upstream(Box::new(engine))
    };
    let records = names.iter().map(|name| (&**name, engine())).collect();
    rig.list(Topic::Upstreams, records);
    rig.list(Topic::Status, Vec::new());
    rig
}
