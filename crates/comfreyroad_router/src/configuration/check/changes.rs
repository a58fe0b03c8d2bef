use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{Change, Place};
use crate::configuration::{Configuration, Customer, Limits, Route, Service};
use crate::id::ApiKey;

/// The fields of an entry with their values as text.
type Fields = Vec<(&'static str, String)>;
/// Entries by name, with their places and fields.
type Entries<'a> = IndexMap<&'a str, (Place, Fields)>;

/// What differs between the configuration in force and a new one. API keys appear as counts only.
pub fn changes(in_force: &Configuration, new: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(
        &Place::Configuration,
        whole(in_force),
        whole(new),
        &mut changes,
    );
    compare_entries(&routes(in_force), &routes(new), &mut changes);
    compare_entries(&services(in_force), &services(new), &mut changes);
    compare_entries(&customers(in_force), &customers(new), &mut changes);
    compare_keys(in_force, new, &mut changes);
    let (old_limits, new_limits) = (limits(in_force.limits), limits(new.limits));
    compare(&Place::Limits, old_limits, new_limits, &mut changes);
    changes
}

fn compare_entries(old: &Entries<'_>, new: &Entries<'_>, changes: &mut Vec<Change>) {
    for (id, (place, fields)) in new {
        match old.get(id) {
            Some((_, before)) => compare(place, before.clone(), fields.clone(), changes),
            None => changes.push(Change::Added(place.clone())),
        }
    }
    let removed = old.iter().filter(|(id, _)| !new.contains_key(*id));
    changes.extend(removed.map(|(_, (place, _))| Change::Removed(place.clone())));
}

fn compare(place: &Place, old: Fields, new: Fields, changes: &mut Vec<Change>) {
    for ((field, old), (_, new)) in old.into_iter().zip(new) {
        if old != new {
            changes.push(Change::Changed {
                place: place.clone(),
                field,
                old,
                new,
            });
        }
    }
}

/// Customers that stay, but hold other API keys.
fn compare_keys(in_force: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    for (index, customer) in new.customers.iter().flatten().enumerate() {
        let mut before = in_force.customers.iter().flatten();
        let Some(before) = before.find(|before| before.id == customer.id) else {
            continue;
        };
        let old: IndexSet<&ApiKey> = before.api_keys.iter().collect();
        let keys: IndexSet<&ApiKey> = customer.api_keys.iter().collect();
        let (added, removed) = (keys.difference(&old).count(), old.difference(&keys).count());
        if added + removed > 0 {
            changes.push(Change::Changed {
                place: Place::Customer(index, customer.id.clone()),
                field: "API keys",
                old: old.len().to_string(),
                new: format!("{} ({added} added, {removed} removed)", keys.len()),
            });
        }
    }
}

fn whole(configuration: &Configuration) -> Fields {
    let needs_keys = configuration.customers.is_some();
    vec![
        ("generation", configuration.generation.to_string()),
        ("API keys needed", needs_keys.to_string()),
    ]
}

fn routes(configuration: &Configuration) -> Entries<'_> {
    let routes = configuration.routes.iter().enumerate();
    let entries = routes.map(|(index, route)| {
        let place = Place::Route(index, route.id.clone());
        (&*route.id, (place, route_fields(route)))
    });
    entries.collect()
}

fn services(configuration: &Configuration) -> Entries<'_> {
    let services = configuration.services.values().enumerate();
    let entries = services.map(|(index, service)| {
        let place = Place::Service(index, service.id.clone());
        (&*service.id, (place, service_fields(service)))
    });
    entries.collect()
}

fn customers(configuration: &Configuration) -> Entries<'_> {
    let customers = configuration.customers.iter().flatten().enumerate();
    let entries = customers.map(|(index, customer)| {
        let place = Place::Customer(index, customer.id.clone());
        (&*customer.id, (place, customer_fields(customer)))
    });
    entries.collect()
}

fn route_fields(route: &Route) -> Fields {
    // Names every field, so that none is left out when one is added.
    let Route {
        id: _,
        host,
        prefix,
        idempotency,
        is_streaming,
        is_public,
        split,
        timeout,
        latency_objective,
        max_event_gap,
        priority,
        max_attempts,
        models,
    } = route;
    let weights = split
        .weights()
        .map(|(pool, weight)| format!("{pool} {weight}"));
    vec![
        ("host", host.to_string()),
        ("path prefix", prefix.to_string()),
        ("idempotency", format!("{idempotency:?}")),
        ("streaming", is_streaming.to_string()),
        ("public", is_public.to_string()),
        ("services", weights.collect::<Vec<_>>().join(", ")),
        ("timeout", time(*timeout)),
        ("latency objective", time(*latency_objective)),
        (
            "event gap",
            max_event_gap.map_or_else(|| "none".into(), time),
        ),
        ("priority", priority.to_string()),
        ("attempts", max_attempts.to_string()),
        ("models", models.join(", ")),
    ]
}

fn service_fields(service: &Service) -> Fields {
    let Service {
        id: _,
        max_connections,
        warmup,
    } = service;
    vec![
        ("connections", max_connections.to_string()),
        (
            "cold requests per second",
            warmup.requests_per_second.to_string(),
        ),
    ]
}

fn customer_fields(customer: &Customer) -> Fields {
    let Customer {
        id: _,
        api_keys: _,
        priority,
    } = customer;
    let priority = priority.map_or_else(|| "that of the route".into(), |it| it.to_string());
    vec![("priority", priority)]
}

fn limits(limits: Limits) -> Fields {
    let Limits {
        max_header_bytes,
        max_body_bytes,
        header_timeout,
        idle_timeout,
    } = limits;
    vec![
        ("header bytes", max_header_bytes.to_string()),
        ("body bytes", max_body_bytes.to_string()),
        ("header timeout", time(header_timeout)),
        ("idle timeout", time(idle_timeout)),
    ]
}

fn time(time: Duration) -> String {
    format!("{time:?}")
}
