use std::sync::Arc;

use super::Word;
use super::fields::Fields;
use crate::rules::{Route, Rules};

/// Reads `route NAME models=M[,M] class=C quality=Q`.
pub(super) fn read(fields: &mut Fields<'_>, rules: &mut Rules) {
    fields.allow_only(&["models", "class", "quality"]);
    let id = fields.name("a route");
    let models = fields
        .required("models")
        .map(Word::list)
        .unwrap_or_default();
    let models: Option<Vec<Arc<str>>> = models.iter().map(|word| fields.identifier(word)).collect();
    let class = fields.class();
    let quality = fields.required("quality");
    let quality = quality.and_then(|word| fields.fraction(word));
    let (Some(id), Some(models), Some(class), Some(quality)) = (id, models, class, quality) else {
        return;
    };
    let route = Route {
        id,
        models,
        class,
        quality,
    };
    rules.routes.insert(route.id.clone(), route);
}
