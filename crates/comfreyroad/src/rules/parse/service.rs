use std::sync::Arc;

use super::Word;
use super::fields::Fields;
use crate::rules::{Rules, Service};

/// Reads `service NAME pool=P path=/PATH class=C [repeat=METHOD[,METHOD]]`.
pub(super) fn read(fields: &mut Fields<'_>, rules: &mut Rules) {
    fields.allow_only(&["pool", "path", "class", "repeat"]);
    let id = fields.name("a service");
    let pool = fields.identifier_field("pool");
    let path = fields.required("path");
    let path = path.and_then(|word| service_path(fields, word));
    let class = fields.class();
    let repeat: Option<Option<Vec<Arc<str>>>> = match fields.optional("repeat") {
        Some(word) => methods(fields, word).map(Some),
        None => Some(None),
    };
    let (Some(id), Some(pool), Some(path), Some(class), Some(repeat)) =
        (id, pool, path, class, repeat)
    else {
        return;
    };
    rules.services.push(Service {
        id,
        pool,
        path,
        class,
        repeat,
    });
}

fn service_path(fields: &mut Fields<'_>, word: &Word) -> Option<Arc<str>> {
    if !word.text.starts_with('/') || word.text.contains('?') {
        fields.fault(word, "a path that starts with `/`, without a query");
        return None;
    }
    Some(word.text.as_str().into())
}

fn methods(fields: &mut Fields<'_>, word: &Word) -> Option<Vec<Arc<str>>> {
    let mut methods = Vec::new();
    for word in word.list() {
        let is_method =
            !word.text.is_empty() && word.text.chars().all(|char| char.is_ascii_uppercase());
        if !is_method {
            fields.fault(&word, "an HTTP method in capitals");
            return None;
        }
        methods.push(word.text.as_str().into());
    }
    Some(methods)
}
