//! The cases.

#[path = "case_hangup.rs"]
mod hangup;
#[path = "case_memory.rs"]
mod memory;
#[path = "case_parallel.rs"]
mod parallel;
#[path = "case_silence.rs"]
mod silence;
#[path = "case_stop.rs"]
mod stop;
#[path = "case_tenants.rs"]
mod tenants;

use std::sync::Arc;

use crate::Verdict;
use crate::record::Record;

/// Plays a case; `None` if there is none of this name.
pub fn play(name: &str, trouble: bool, record: &Arc<Record>) -> Option<Verdict> {
    match name {
        "hangup" => Some(hangup::play(trouble, record)),
        "memory" => Some(memory::play(trouble, record)),
        "parallel" => Some(parallel::play(trouble, record)),
        "silence" => Some(silence::play(trouble, record)),
        "stop" => Some(stop::play(trouble, record)),
        "tenants" => Some(tenants::play(trouble, record)),
        _ => None,
    }
}

/// The operator's manifest, as PROTOCOL.md shows one. `tenants` is JSON.
fn manifest(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-stream","host":"host.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":20000,"target_latency_ms":2000,"priority":1,"service":"pool","max_attempts":3,"public":false,"sticky":true,"resumable":true,"target_gap_ms":1000}}],"services":[{{"name":"pool","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":16.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":{tenants}}}"#
    )
}

const TENANTS: &str = r#"[{"name":"tenant-1","api_keys":["key-of-tenant-1"],"priority":1}]"#;

/// Headers of a client's request to the streaming route. `own` is the last part of its prompt.
fn headers(own: &str) -> Vec<(&'static str, String)> {
    vec![
        ("X-Comfreyroad-Model", "m".to_owned()),
        ("X-Comfreyroad-Token-Usage", "1460,80".to_owned()),
        (
            "X-Comfreyroad-Prompt-Prefix",
            format!("5c1e07a2:800,91bd3f06:410,{own}:250"),
        ),
        ("X-Comfreyroad-Deadline-Ms", "20000".to_owned()),
        ("X-Comfreyroad-Key", "key-of-tenant-1".to_owned()),
    ]
}

fn borrowed<'a>(headers: &'a [(&'static str, String)]) -> Vec<(&'a str, &'a str)> {
    headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect()
}
