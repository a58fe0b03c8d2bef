use super::field::Fields;
use crate::rules::{Fencing, Pool, PoolKind, Rules};

const KINDS: [(&str, PoolKind); 2] = [("engine", PoolKind::Engine), ("service", PoolKind::Service)];

const FENCINGS: [(&str, Fencing); 2] =
    [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];

/// Reads `pool NAME kind=engine|service bears=N cold=N [fencing=checked|ignored]`.
pub(super) fn read(fields: &mut Fields<'_>, rules: &mut Rules) {
    fields.only(&["kind", "bears", "cold", "fencing"]);
    let id = fields.name("a pool");
    let kind = fields.required("kind");
    let kind = kind.and_then(|word| fields.one_of(word, &KINDS));
    let bears = fields.number("bears", "a number of requests");
    let cold = fields.number("cold", "a number of requests");
    // Nothing is taken on trust: without a word, old orders may be carried out.
    let fencing = match fields.optional("fencing") {
        Some(word) => fields.one_of(word, &FENCINGS),
        None => Some(Fencing::Ignored),
    };
    let (Some(id), Some(kind), Some(bears), Some(cold), Some(fencing)) =
        (id, kind, bears, cold, fencing)
    else {
        return;
    };
    let pool = Pool {
        id,
        kind,
        bears,
        cold,
        fencing,
    };
    rules.pools.insert(pool.id.clone(), pool);
}
