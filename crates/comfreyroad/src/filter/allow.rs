//! Authentication and authorization: checks the phase, the term, the freshness of the rules, the deadline, the key and
//! the versions or service that the customer may use.

use std::sync::Arc;

use super::{Filter, Halt, View};
use crate::refusal::{Code, Refusal};
use crate::request::{Allowed, Chat, Class, Received, Repeat, Request, Service, Target};
use crate::rules::{Customer, Rules, Version};

/// Passes requests of known customers for targets that they may use.
#[derive(Debug)]
pub struct Allow;

impl Filter<Received> for Allow {
    type Next = Allowed;

    fn apply(
        request: Request<Received>,
        view: &View<'_>,
    ) -> Result<Request<Allowed>, Halt<Received>> {
        match Self::authorize(&request, view) {
            Ok(allowed) => Ok(request.allow(allowed)),
            Err(code) => Err(Refusal::not_run(&request, code).into()),
        }
    }
}

impl Allow {
    fn authorize(request: &Request<Received>, view: &View<'_>) -> Result<Allowed, Code> {
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
        let requested = Self::resolve(rules, &chat.model);
        if requested.is_empty() {
            return Err(Code::NotFound);
        }
        let allowed: Vec<&Version> = requested
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

    /// Resolves the name of a route, a version or a model to the versions that it stands for.
    pub(crate) fn resolve<'a>(rules: &'a Rules, name: &'a Arc<str>) -> Vec<&'a Version> {
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
        may_repeat: Option<bool>,
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
            repeat: Self::repeat(service, call, may_repeat),
            quality: 0.0,
        })
    }

    /// Whether a call may run more than once. The rules take precedence, then what the caller says, then whether HTTP
    /// defines the method as safe. A caller can always forbid the repetition.
    fn repeat(service: &crate::rules::Service, call: &Service, may_repeat: Option<bool>) -> Repeat {
        let listed = service
            .repeat
            .as_ref()
            .map(|methods| methods.contains(&call.method));
        match listed.or(may_repeat).unwrap_or_else(|| call.is_safe()) {
            true if may_repeat != Some(false) => Repeat::Idempotent,
            _ => Repeat::Once,
        }
    }
}
