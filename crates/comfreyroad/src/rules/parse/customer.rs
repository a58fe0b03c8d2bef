use std::sync::Arc;

use data_encoding::HEXLOWER_PERMISSIVE;

use super::fields::Fields;
use super::{Word, version};
use crate::id::KeyHash;
use crate::rules::{Customer, Rules};

/// Weight of a customer whose line gives none.
const DEFAULT_WEIGHT: u32 = 1;

/// The models and the single versions that a customer may use.
type Grants = (Vec<Arc<str>>, Vec<Arc<str>>);

/// Reads `customer NAME firm=F key=HEX[,HEX] allow=MODEL@VERSION[,..] [quality=Q] [weight=N]`.
pub(super) fn read(fields: &mut Fields<'_>, rules: &mut Rules) {
    fields.allow_only(&["firm", "key", "allow", "quality", "weight"]);
    let id = fields.name("a customer");
    let firm = fields.identifier_field("firm");
    let keys = fields.required("key").map(Word::list).unwrap_or_default();
    let keys: Option<Vec<KeyHash>> = keys.iter().map(|word| key(fields, word)).collect();
    let allowed = fields.required("allow");
    let allowed = allowed.and_then(|word| grants(fields, word));
    let quality = match fields.optional("quality") {
        Some(word) => fields.fraction(word).map(Some),
        None => Some(None),
    };
    let weight = match fields.optional("weight") {
        Some(word) => fields.parse_number(word, "a whole number"),
        None => Some(DEFAULT_WEIGHT),
    };
    let (Some(id), Some(firm), Some(keys), Some((models, versions)), Some(quality), Some(weight)) =
        (id, firm, keys, allowed, quality, weight)
    else {
        return;
    };
    let customer = Customer {
        id,
        firm,
        keys,
        models,
        versions,
        quality,
        weight,
    };
    rules.customers.insert(customer.id.clone(), customer);
}

fn key(fields: &mut Fields<'_>, word: &Word) -> Option<KeyHash> {
    let bytes = HEXLOWER_PERMISSIVE.decode(word.text.as_bytes()).ok();
    let key = bytes.and_then(|bytes| KeyHash::try_from(bytes).ok());
    if key.is_none() {
        fields.fault(
            word,
            "a hash of 64 hexadecimal digits, as printed by `comfreyroad hash-key`",
        );
    }
    key
}

fn grants(fields: &mut Fields<'_>, word: &Word) -> Option<Grants> {
    let (mut models, mut versions) = Grants::default();
    for word in word.list() {
        let (model, version) = version::split(fields, &word)?;
        let model = fields.identifier(&model)?;
        if version.text == "*" {
            models.push(model);
        } else {
            fields.identifier(&version)?;
            versions.push(word.text.as_str().into());
        }
    }
    Some((models, versions))
}
