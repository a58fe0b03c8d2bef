//! Sessions: each keeps the version that it began with.

use std::sync::Arc;

use crate::clock::Now;
use crate::controller::Controller;
use crate::event::Event;
use crate::filter::View;
use crate::id::VersionId;
use crate::outbox::Outbox;
use crate::refusal::Code;
use crate::request::{Allowed, Plan, Request};
use crate::rules::{Rules, Version};
use crate::session::Token;
use crate::settings::Settings;

/// Keeps the keys of session tokens.
#[derive(Debug)]
pub struct Sessions {
    keys: Vec<[u8; 32]>,
}

impl Sessions {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            keys: settings.session_keys.clone(),
        }
    }

    /// The plan for a request and the session token to hand back.
    pub fn pin(
        &self,
        request: &Request<Allowed>,
        view: &View<'_>,
    ) -> Result<(Plan, Option<Arc<str>>), Code> {
        let rules = view.state.rules.for_new_work(view.now)?;
        let allowed = request.stage();
        let active: Vec<&Version> = allowed
            .versions
            .iter()
            .filter(|id| rules.is_active(id) && !view.state.rules.is_held(id))
            .filter_map(|id| rules.versions.get(id))
            .collect();
        if active.is_empty() {
            return Err(Code::Withdrawn);
        }
        if let Some(plan) = self.kept(request, &active)? {
            return Ok((plan, request.head().session.clone()));
        }
        let version = Self::choose(rules, &active, &request.head().id).ok_or(Code::NotFound)?;
        let token = Token {
            customer: allowed.customer.clone(),
            route: allowed.route.clone(),
            version,
        };
        let text = self.keys.first().map(|key| token.seal(key).into());
        Ok((Plan::single(token.version), text))
    }

    /// The version that the session began with, while it still takes work.
    fn kept(&self, request: &Request<Allowed>, active: &[&Version]) -> Result<Option<Plan>, Code> {
        let Some(text) = &request.head().session else {
            return Ok(None);
        };
        let token = Token::open(text, &self.keys).ok_or(Code::BadSession)?;
        if token.customer != request.stage().customer {
            return Err(Code::BadSession);
        }
        let found = active.iter().find(|version| version.id == token.version);
        Ok(found.map(|version| Plan::single(version.id.clone())))
    }

    /// The cheapest model, and of its versions one by their shares.
    fn choose(rules: &Rules, active: &[&Version], seed: &str) -> Option<VersionId> {
        let cheapest = active.iter().min_by_key(|version| version.cost)?;
        let of_model: Vec<&&Version> = active
            .iter()
            .filter(|version| version.model == cheapest.model)
            .collect();
        let total: u32 = of_model.iter().map(|version| version.share).sum();
        if total == 0 {
            return Some(cheapest.id.clone());
        }
        let mut point = (xxhash_rust::xxh3::xxh3_64(seed.as_bytes()) % u64::from(total)) as u32;
        for version in of_model {
            if point < version.share {
                return Some(version.id.clone());
            }
            point -= version.share;
        }
        let _ = rules;
        Some(cheapest.id.clone())
    }
}

impl Controller for Sessions {
    fn handle(&mut self, _: Now, _: &Event, _: &mut Outbox) {}
}
