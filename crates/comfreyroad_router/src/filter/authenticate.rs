//! Who asks.

use super::{Filter, View};
use crate::Refusal;
use crate::refusal::Code;
use crate::request::{Found, Known, Request};

/// Finds the customer by its key.
#[derive(Debug)]
pub struct Authenticate;

impl Filter<Found> for Authenticate {
    type Next = Known;

    fn apply(request: Request<Found>, view: View<'_>) -> Result<Request<Known>, Refusal> {
        let priority = request.stage().route.priority;
        let Some(configuration) = view.state.configuration.active() else {
            return Err(Refusal::not_run(&request, Code::NotReady));
        };
        let is_open = configuration.customers.is_empty() || request.stage().route.is_public;
        let key = request.head().key.as_deref();
        let customer = key.and_then(|key| configuration.customer(key));
        match customer {
            Some(customer) => {
                let priority = customer.priority.unwrap_or(priority);
                let id = customer.id.clone();
                Ok(request.know(Some(id), priority))
            }
            None if is_open => Ok(request.know(None, priority)),
            None => Err(Refusal::not_run(&request, Code::UnknownKey)),
        }
    }
}
