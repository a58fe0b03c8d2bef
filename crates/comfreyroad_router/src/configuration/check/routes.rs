use std::sync::Arc;

use indexmap::IndexSet;

use super::{Finding, Place};
use crate::configuration::{Configuration, Route};

/// Checks the routes.
pub(super) fn check(configuration: &Configuration, findings: &mut Vec<Finding>) {
    let mut ids = IndexSet::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        let place = Place::Route(index, route.id.clone());
        if !ids.insert(&route.id) {
            findings.push(Finding::error(place.clone(), "another route has this name"));
        }
        match_faults(configuration, route, &place, findings);
        split_faults(configuration, route, &place, findings);
        model_faults(route, &place, findings);
        time_faults(route, &place, findings);
        attempt_faults(route, &place, findings);
    }
}

fn match_faults(
    configuration: &Configuration,
    route: &Arc<Route>,
    place: &Place,
    findings: &mut Vec<Finding>,
) {
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let text = format!("path prefix `{prefix}` does not begin and end with a slash");
        findings.push(Finding::error(place.clone(), text));
    }
    // Among equal routes only one matches; the lookup of requests says which.
    let Some(matched) = configuration.route(&route.host, prefix) else {
        return;
    };
    if !Arc::ptr_eq(matched, route) {
        let position = configuration
            .routes
            .iter()
            .position(|it| Arc::ptr_eq(it, matched));
        let other = Place::Route(position.unwrap_or_default(), matched.id.clone());
        let text = format!("never matches, as {other} has the same host and path prefix");
        findings.push(Finding::error(place.clone(), text));
    }
}

fn split_faults(
    configuration: &Configuration,
    route: &Route,
    place: &Place,
    findings: &mut Vec<Finding>,
) {
    let mut pools = IndexSet::new();
    for pool in route.split.pools() {
        if !pools.insert(pool) {
            let text = format!("service `{pool}` is listed twice");
            findings.push(Finding::warning(place.clone(), text));
        } else if !configuration.services.contains_key(pool) {
            let text = format!("service `{pool}` does not exist");
            findings.push(Finding::error(place.clone(), text));
        }
    }
    if pools.is_empty() {
        let text = "no service with a weight above 0";
        findings.push(Finding::error(place.clone(), text));
    }
}

fn model_faults(route: &Route, place: &Place, findings: &mut Vec<Finding>) {
    let mut models = IndexSet::new();
    for (index, model) in route.models.iter().enumerate() {
        if model.trim().is_empty() {
            let text = format!("model {} has no name", index + 1);
            findings.push(Finding::error(place.clone(), text));
        } else if !models.insert(model) {
            let text = format!("model `{model}` is listed twice");
            findings.push(Finding::warning(place.clone(), text));
        }
    }
}

fn time_faults(route: &Route, place: &Place, findings: &mut Vec<Finding>) {
    let (timeout, objective) = (route.timeout, route.latency_objective);
    if timeout.is_zero() {
        let text = "the timeout is 0, so no request can be answered";
        findings.push(Finding::error(place.clone(), text));
        return;
    }
    if objective.is_zero() {
        let text = "the latency objective is 0, so every answer is late";
        findings.push(Finding::warning(place.clone(), text));
    }
    if objective > timeout {
        let text =
            format!("the latency objective, {objective:?}, exceeds the timeout, {timeout:?}");
        findings.push(Finding::warning(place.clone(), text));
    }
    let Some(gap) = route.max_event_gap else {
        return;
    };
    if !route.is_streaming {
        let text = "the event gap has no effect, as answers are not streams";
        findings.push(Finding::warning(place.clone(), text));
    } else if gap.is_zero() {
        let text = "the event gap is 0, so every stream is late";
        findings.push(Finding::warning(place.clone(), text));
    } else if gap > timeout {
        let text = format!("the event gap, {gap:?}, exceeds the timeout, {timeout:?}");
        findings.push(Finding::warning(place.clone(), text));
    }
}

fn attempt_faults(route: &Route, place: &Place, findings: &mut Vec<Finding>) {
    let attempts = route.max_attempts;
    if attempts == 0 {
        let text = "0 attempts are allowed; entries make one";
        findings.push(Finding::warning(place.clone(), text));
    }
    if attempts > 1 && !route.idempotency.may_retry() {
        let text = format!(
            "{attempts} attempts are allowed, but requests run at most once: only those that upstreams rejected are sent again"
        );
        findings.push(Finding::warning(place.clone(), text));
    }
}
