//! Status of an entry as JSON, for operators.

use std::time::{Instant, SystemTime};

use comfreyroad::Entry;
use comfreyroad::clock::Now;
use comfreyroad::settings::Settings;
use serde_json::{Value, json};

/// Returns the status as JSON.
pub(super) fn status(entry: &Entry, settings: &Settings) -> Value {
    let state = entry.state();
    let now = Now {
        instant: Instant::now(),
        system: SystemTime::now(),
    };
    let age = state
        .rules
        .confirmed_at()
        .map(|at| now.instant.saturating_duration_since(at));
    let members = state.members.view().members.values();
    let members: Vec<Value> = members
        .map(|beat| json!({"entry": &*beat.entry, "zone": &*beat.zone, "serving": beat.serving}))
        .collect();
    let upstreams: Vec<Value> = state.upstreams.all().map(upstream).collect();
    json!({
        "entry": &*settings.entry,
        "boot": &*settings.boot,
        "zone": &*settings.zone,
        "phase": state.lifecycle.phase().name(),
        "ready": state.lifecycle.is_ready(),
        "generation": state.rules.generation(),
        "rules": state.rules.freshness(now).name(),
        "reads_rules": state.rules.is_reader(),
        "confirmed_age_ms": age.map(|age| age.as_millis() as u64),
        "log_down": state.log.is_down(),
        "calls": entry.dispatcher().calls(),
        "in_flight": entry.dispatcher().calls(),
        "queued": state.queue.len(),
        "body_bytes": state.limits.bytes(),
        "term": state.term.stage().name(),
        "records_pending": state.appends.pending(),
        "bills_pending": state.ledger.pending(),
        "bills_at_risk": state.ledger.at_risk(),
        "entries": members,
        "upstreams": upstreams,
    })
}

fn upstream(upstream: &comfreyroad::upstream::Any) -> Value {
    let info = upstream.info();
    json!({
        "upstream": &*info.id,
        "pool": &*info.pool,
        "zone": &*info.zone,
        "stage": upstream.stage(),
        "in_flight": info.in_flight.get(),
        "running": info.load.as_ref().map(|load| load.running),
    })
}
