use std::sync::Arc;

use indexmap::IndexMap;

use super::{Change, Customer, Pool, Route, Rules, Service, Subject, Version, Zone};

/// Name of a field, and whether its values differ.
type Field = (&'static str, bool);

impl Rules {
    /// The changes from these rules to `other`, a later generation.
    pub fn diff(&self, other: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        firms(self, other, &mut changes);
        compare(&self.zones, &other.zones, Subject::Zone, zone, &mut changes);
        compare(&self.pools, &other.pools, Subject::Pool, pool, &mut changes);
        compare(
            &self.versions,
            &other.versions,
            Subject::Version,
            version,
            &mut changes,
        );
        compare(
            &self.routes,
            &other.routes,
            Subject::Route,
            route,
            &mut changes,
        );
        let (old, new) = (by_name(&self.services), by_name(&other.services));
        compare(&old, &new, Subject::Service, service, &mut changes);
        compare(
            &self.customers,
            &other.customers,
            Subject::Customer,
            customer,
            &mut changes,
        );
        if self.term != other.term {
            changes.push(Change::Term {
                from: self.term,
                to: other.term,
            });
        }
        changes
    }
}

fn compare<T>(
    old: &IndexMap<Arc<str>, T>,
    new: &IndexMap<Arc<str>, T>,
    subject: impl Fn(Arc<str>) -> Subject,
    fields: impl Fn(&T, &T, &mut Vec<Change>) -> Vec<Field>,
    changes: &mut Vec<Change>,
) {
    for (id, after) in new {
        let Some(before) = old.get(id) else {
            changes.push(Change::Added(subject(id.clone())));
            continue;
        };
        let fields = fields(before, after, changes);
        let differing: Vec<&'static str> = fields
            .into_iter()
            .filter(|field| field.1)
            .map(|field| field.0)
            .collect();
        if !differing.is_empty() {
            changes.push(Change::Changed(subject(id.clone()), differing));
        }
    }
    for id in old.keys().filter(|id| !new.contains_key(*id)) {
        changes.push(Change::Removed(subject(id.clone())));
    }
}

fn firms(old: &Rules, new: &Rules, changes: &mut Vec<Change>) {
    for firm in new.firms.iter().filter(|firm| !old.firms.contains(firm)) {
        changes.push(Change::Added(Subject::Firm(firm.clone())));
    }
    for firm in old.firms.iter().filter(|firm| !new.firms.contains(firm)) {
        changes.push(Change::Removed(Subject::Firm(firm.clone())));
    }
}

fn zone(old: &Zone, new: &Zone, changes: &mut Vec<Change>) -> Vec<Field> {
    match (old.out, new.out) {
        (false, true) => changes.push(Change::ZoneOut(new.id.clone())),
        (true, false) => changes.push(Change::ZoneIn(new.id.clone())),
        _ => {}
    }
    vec![("region", old.region != new.region)]
}

fn pool(old: &Pool, new: &Pool, _: &mut Vec<Change>) -> Vec<Field> {
    vec![
        ("kind", old.kind != new.kind),
        ("bears", old.warm_capacity != new.warm_capacity),
        ("cold", old.cold_capacity != new.cold_capacity),
        ("fencing", old.fencing != new.fencing),
    ]
}

fn version(old: &Version, new: &Version, changes: &mut Vec<Change>) -> Vec<Field> {
    match (old.withdrawn, new.withdrawn) {
        (false, true) => changes.push(Change::Withdrawn(new.id.clone())),
        (true, false) => changes.push(Change::Restored(new.id.clone())),
        _ => {}
    }
    if old.share != new.share {
        changes.push(Change::Share {
            version: new.id.clone(),
            from: old.share,
            to: new.share,
        });
    }
    vec![
        ("pool", old.pool != new.pool),
        ("cost", old.cost != new.cost),
    ]
}

fn route(old: &Route, new: &Route, _: &mut Vec<Change>) -> Vec<Field> {
    vec![
        ("models", old.models != new.models),
        ("class", old.class != new.class),
        ("quality", old.quality != new.quality),
    ]
}

fn service(old: &&Service, new: &&Service, _: &mut Vec<Change>) -> Vec<Field> {
    vec![
        ("pool", old.pool != new.pool),
        ("path", old.path != new.path),
        ("class", old.class != new.class),
        ("repeat", old.repeat != new.repeat),
    ]
}

fn customer(old: &Customer, new: &Customer, _: &mut Vec<Change>) -> Vec<Field> {
    vec![
        ("firm", old.firm != new.firm),
        ("key", old.keys != new.keys),
        (
            "allow",
            old.models != new.models || old.versions != new.versions,
        ),
        ("quality", old.quality != new.quality),
        ("weight", old.weight != new.weight),
    ]
}

fn by_name(services: &[Service]) -> IndexMap<Arc<str>, &Service> {
    services
        .iter()
        .map(|service| (service.id.clone(), service))
        .collect()
}
