use std::sync::Arc;

use super::{Checked, Draft, Rules};
use crate::id::{Generation, Offset};

/// Rules that are in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Number of these rules.
    pub generation: Generation,
    /// Offset of the record that brought them into force.
    pub offset: Offset,
    /// Who published them.
    pub by: Arc<str>,
    /// The file as published.
    pub text: Arc<str>,
    /// The rules.
    pub rules: Arc<Rules>,
}

impl InForce {
    /// Rules that were judged before; `None` where this program cannot read them.
    pub(crate) fn read(
        generation: Generation,
        offset: Offset,
        by: &Arc<str>,
        text: &Arc<str>,
    ) -> Option<Self> {
        let draft = Draft::new(text.clone()).parse().ok()?.check().ok()?;
        Some(Self::new(draft, generation, offset, by.clone()))
    }

    pub(crate) fn new(
        draft: Draft<Checked>,
        generation: Generation,
        offset: Offset,
        by: Arc<str>,
    ) -> Self {
        let (text, rules) = draft.into_parts();
        Self {
            generation,
            offset,
            by,
            text,
            rules: Arc::new(rules),
        }
    }
}
