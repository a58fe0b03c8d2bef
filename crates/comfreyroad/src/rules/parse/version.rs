use super::Word;
use super::fields::Fields;
use crate::rules::{Rules, Version};

const EXPECTED: &str = "a version of the form `model@version`";

/// Reads `version MODEL@VERSION pool=P cost=N share=N [state=active|withdrawn]`.
pub(super) fn read(fields: &mut Fields<'_>, rules: &mut Rules) {
    fields.allow_only(&["pool", "cost", "share", "state"]);
    let name = fields.version_name();
    let pool = fields.identifier_field("pool");
    let cost = fields.number("cost", "millionths of the currency per 1,000 tokens");
    let share = fields.number("share", "a whole number of percent");
    let withdrawn = match fields.optional("state") {
        Some(word) => fields.choice(word, &[("active", false), ("withdrawn", true)]),
        None => Some(false),
    };
    let (Some((model, id)), Some(pool), Some(cost), Some(share), Some(withdrawn)) =
        (name, pool, cost, share, withdrawn)
    else {
        return;
    };
    let version = Version {
        id,
        model,
        pool,
        cost,
        share,
        withdrawn,
    };
    rules.versions.insert(version.id.clone(), version);
}

/// Splits `model@version` into model and version.
pub(super) fn split(fields: &mut Fields<'_>, word: &Word) -> Option<(Word, Word)> {
    let Some((model, version)) = word.text.split_once('@') else {
        fields.fault(word, EXPECTED);
        return None;
    };
    let column = word.column + model.chars().count() + 1;
    Some((
        Word::new(word.line, word.column, model),
        Word::new(word.line, column, version),
    ))
}
