//! Authentication of callers.

use super::{Context, Filter};
use crate::Refusal;
use crate::refusal::Code;
use crate::request::{Authenticated, Matched, Request};

/// Finds the customer by its API key.
#[derive(Debug)]
pub struct Authenticate;

impl Filter<Matched> for Authenticate {
    type Next = Authenticated;

    fn apply(
        request: Request<Matched>,
        context: Context<'_>,
    ) -> Result<Request<Authenticated>, Refusal> {
        let priority = request.stage().route.priority;
        let Some(configuration) = context.state.configuration.active() else {
            return Err(Refusal::not_run(&request, Code::NotReady));
        };
        let is_key_optional = configuration.customers.is_none() || request.stage().route.is_public;
        let key = request.head().key.as_deref();
        let customer = key.and_then(|key| configuration.customer(key));
        match customer {
            Some(customer) => {
                let priority = customer.priority.unwrap_or(priority);
                let id = customer.id.clone();
                Ok(request.with_customer(Some(id), priority))
            }
            None if is_key_optional => Ok(request.with_customer(None, priority)),
            None => Err(Refusal::not_run(&request, Code::UnknownKey)),
        }
    }
}
