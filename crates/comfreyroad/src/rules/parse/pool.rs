use super::fields::Fields;
use crate::rules::{Fencing, Pool, PoolKind, Rules};

const KINDS: [(&str, PoolKind); 2] = [("engine", PoolKind::Engine), ("service", PoolKind::Service)];

const FENCINGS: [(&str, Fencing); 2] =
    [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];

/// Reads `pool NAME kind=engine|service bears=N cold=N [fencing=checked|ignored]`.
pub(super) fn read(fields: &mut Fields<'_>, rules: &mut Rules) {
    fields.allow_only(&["kind", "bears", "cold", "fencing"]);
    let id = fields.name("a pool");
    let kind = fields.required("kind");
    let kind = kind.and_then(|word| fields.choice(word, &KINDS));
    let warm_capacity = fields.number("bears", "a number of requests");
    let cold_capacity = fields.number("cold", "a number of requests");
    // Without the field, the safe assumption is that upstreams carry out old orders.
    let fencing = match fields.optional("fencing") {
        Some(word) => fields.choice(word, &FENCINGS),
        None => Some(Fencing::Ignored),
    };
    let (Some(id), Some(kind), Some(warm_capacity), Some(cold_capacity), Some(fencing)) =
        (id, kind, warm_capacity, cold_capacity, fencing)
    else {
        return;
    };
    let pool = Pool {
        id,
        kind,
        warm_capacity,
        cold_capacity,
        fencing,
    };
    rules.pools.insert(pool.id.clone(), pool);
}
