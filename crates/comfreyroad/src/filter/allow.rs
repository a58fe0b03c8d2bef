//! Who asks, and may they: key, freshness of the rules, phase, versions, service.

use std::sync::Arc;

use super::{Filter, Halt, View};
use crate::refusal::{Code, Refusal};
use crate::request::{Allowed, Chat, Class, Received, Repeat, Request, Service, Target};
use crate::rules::{Customer, Rules, Version};

/// Lets pass what a known customer may ask for.
#[derive(Debug)]
pub struct Allow;

impl Filter<Received> for Allow {
    type Next = Allowed;

    fn apply(
        request: Request<Received>,
        view: &View<'_>,
    ) -> Result<Request<Allowed>, Halt<Received>> {
        match Self::examine(&request, view) {
            Ok(allowed) => Ok(request.allow(allowed)),
            Err(code) => Err(Refusal::not_run(&request, code).into()),
        }
    }
}

impl Allow {
    fn examine(request: &Request<Received>, view: &View<'_>) -> Result<Allowed, Code> {
        if !view.state.lifecycle.accepts_calls() {
            return Err(Code::NotReady);
        }
        if view.state.term.is_closed() {
            return Err(Code::TermOver);
        }
        let rules = view.state.rules.for_new_work(view.now)?;
        let head = request.head();
        if head.deadline <= view.now.instant {
            return Err(Code::Deadline);
        }
        let customer = rules.customer_by_key(&head.key).ok_or(Code::UnknownKey)?;
        match &head.target {
            Target::Chat(chat) => Self::chat(rules, customer, chat),
            Target::Service(service) => Self::service(rules, customer, service, head.may_repeat),
        }
    }

    fn chat(rules: &Rules, customer: &Customer, chat: &Chat) -> Result<Allowed, Code> {
        let route = rules.routes.get(&chat.model);
        let asked = Self::asked(rules, &chat.model);
        if asked.is_empty() {
            return Err(Code::NotFound);
        }
        let allowed: Vec<&Version> = asked
            .into_iter()
            .filter(|version| customer.allows(version))
            .collect();
        if allowed.is_empty() {
            return Err(Code::NotAllowed);
        }
        Ok(Allowed {
            customer: customer.id.clone(),
            route: chat.model.clone(),
            versions: allowed.iter().map(|version| version.id.clone()).collect(),
            pool: None,
            class: route.map_or(Class::Interactive, |route| route.class),
            repeat: Repeat::Idempotent,
            quality: customer
                .quality
                .or(route.map(|route| route.quality))
                .unwrap_or(0.0),
        })
    }

    /// The versions that a name stands for: a route's, a model's, or one.
    pub(crate) fn asked<'a>(rules: &'a Rules, name: &'a Arc<str>) -> Vec<&'a Version> {
        if let Some(route) = rules.routes.get(name) {
            return route
                .models
                .iter()
                .flat_map(|model| rules.versions_of(model))
                .collect();
        }
        if let Some(version) = rules.versions.get(name) {
            return vec![version];
        }
        rules.versions_of(name).collect()
    }

    fn service(
        rules: &Rules,
        customer: &Customer,
        call: &Service,
        word: Option<bool>,
    ) -> Result<Allowed, Code> {
        let service = rules
            .services
            .iter()
            .find(|service| service.covers(&call.path))
            .ok_or(Code::NotFound)?;
        Ok(Allowed {
            customer: customer.id.clone(),
            route: service.id.clone(),
            versions: Vec::new(),
            pool: Some(service.pool.clone()),
            class: service.class,
            repeat: Self::repeat(service, call, word),
            quality: 0.0,
        })
    }

    /// The rules' word counts first, then the caller's, then HTTP's of methods that change nothing.
    fn repeat(service: &crate::rules::Service, call: &Service, word: Option<bool>) -> Repeat {
        let listed = service
            .repeat
            .as_ref()
            .map(|methods| methods.contains(&call.method));
        match listed.or(word).unwrap_or_else(|| call.is_safe()) {
            true if word != Some(false) => Repeat::Idempotent,
            _ => Repeat::Once,
        }
    }
}
