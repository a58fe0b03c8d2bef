//! Chooses the upstream. The request is checked against the newest rules at the time of sending.

use super::{Filter, Halt, View};
use crate::controller::upstreams::Requirements;
use crate::refusal::{Code, Refusal};
use crate::request::{Claimed, Pinned, Placed, Request};

/// Gives a request a slot at an upstream.
#[derive(Debug)]
pub struct Place;

impl Filter<Claimed> for Place {
    type Next = Placed;

    fn apply(request: Request<Claimed>, view: &View<'_>) -> Result<Request<Placed>, Halt<Claimed>> {
        if request.head().deadline <= view.now.instant {
            return Err(Refusal::not_run(&request, Code::Deadline).into());
        }
        if request.is_claim_expired(view.now.instant) {
            return Err(Refusal::not_run(&request, Code::Deadline).into());
        }
        let requirements = match requirements(&request.stage().pinned, request.head(), view) {
            Ok(requirements) => requirements,
            Err(code) => return Err(Refusal::not_run(&request, code).into()),
        };
        match view.state.upstreams.pick(&requirements, view) {
            Some(slot) => Ok(request.place(slot)),
            None => Err(Halt::wait(request)),
        }
    }
}

/// The requirements on the upstream, by the newest rules.
pub(super) fn requirements(
    pinned: &Pinned,
    head: &crate::request::Head,
    view: &View<'_>,
) -> Result<Requirements, Code> {
    let rules = view.state.rules.for_new_work(view.now)?;
    let customer = rules
        .customers
        .get(&pinned.allowed.customer)
        .ok_or(Code::NotAllowed)?;
    let Some(id) = pinned.plan.version() else {
        let mut services = rules.services.iter();
        let service = services.find(|service| service.id == pinned.allowed.route);
        return Ok(Requirements {
            pool: service.ok_or(Code::NotFound)?.pool.clone(),
            version: None,
            prefix: None,
            excluded: None,
            salt: head.call,
        });
    };
    let version = rules.versions.get(id).ok_or(Code::Withdrawn)?;
    view.state.rules.may_use(customer, version)?;
    let prefix = match &head.target {
        crate::request::Target::Chat(chat) => Some(chat.prefix),
        crate::request::Target::Service(_) => None,
    };
    Ok(Requirements {
        pool: version.pool.clone(),
        version: Some(id.clone()),
        prefix,
        excluded: None,
        salt: head.call,
    })
}
