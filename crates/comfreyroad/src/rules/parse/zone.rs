use super::fields::Fields;
use crate::rules::{Rules, Zone};

/// Reads `zone NAME [region=R] state=in|out`.
pub(super) fn read(fields: &mut Fields<'_>, rules: &mut Rules) {
    fields.allow_only(&["region", "state"]);
    let id = fields.name("a zone");
    let region = match fields.optional("region") {
        Some(word) => fields.identifier(word),
        None => Some("".into()),
    };
    let state = fields.required("state");
    let out = state.and_then(|word| fields.choice(word, &[("in", false), ("out", true)]));
    if let (Some(id), Some(region), Some(out)) = (id, region, out) {
        rules.zones.insert(id.clone(), Zone { id, region, out });
    }
}
