use std::sync::Arc;

use super::{Checked, Draft, Rules};
use crate::id::{Generation, Offset};

/// The rules in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Generation of the rules.
    pub generation: Generation,
    /// Offset of the publish that brought the rules into force.
    pub offset: Offset,
    /// The operator who published the rules.
    pub by: Arc<str>,
    /// The text as published.
    pub text: Arc<str>,
    /// The parsed rules.
    pub rules: Arc<Rules>,
}

impl InForce {
    /// Parses rules that another reader has accepted. `None` if this program cannot read them.
    pub(crate) fn parse(
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
