//! A request's life, from its arrival to the end of its answer.
//!
//! ```text
//! Received -> Found -> Known -> Routed -> Placed -> Sent -> Served
//!                                 ^         ^  |      |
//!                                 +---------|--+      |  (certainly not run)
//!                                 +---------|---------+
//!                                       Repeating <---+  (fate unknown, may run again)
//! ```
//!
//! Each stage is a type. [`Unsent`] marks the stages in which no upstream has run the request: a refusal that promises so
//! can be built from these alone.

mod found;
mod head;
mod known;
mod part;
mod placed;
mod plan;
mod received;
mod rejection;
mod repeating;
mod routed;
mod sent;

use std::rc::Rc;

use crate::refusal::{Code, Refusal};

pub use found::Found;
pub use head::Head;
pub use known::Known;
pub use part::Part;
pub use placed::{Origin, Placed};
pub use plan::Plan;
pub use received::Received;
pub use rejection::Rejection;
pub use repeating::Repeating;
pub use routed::Routed;
pub use sent::{Returned, Sent};

/// A stage of a request's life.
pub trait Stage {
    /// Name of the step that handles requests of this stage.
    const STEP: &'static str;
}

/// A stage in which no upstream has run the request.
pub trait Unsent: Stage + sealed::Sealed {}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Received {}
    impl Sealed for super::Found {}
    impl Sealed for super::Known {}
    impl Sealed for super::Routed {}
}

impl Unsent for Received {}
impl Unsent for Found {}
impl Unsent for Known {}
impl Unsent for Routed {}

/// A stage in which the request waits for a place at an upstream.
pub trait Unplaced: Stage + Sized {
    /// What was found before.
    fn plan(&self) -> &Plan;
    /// A refusal that promises no more than is true.
    fn refuse(request: &Request<Self>, code: Code) -> Refusal;
    /// Where it came from, for the next stage.
    fn into_origin(self) -> Origin;
}

/// A request at one stage of its life.
#[derive(Debug)]
pub struct Request<S> {
    head: Rc<Head>,
    stage: S,
}

impl<S: Stage> Request<S> {
    /// What the caller said.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// What the filters have found so far.
    pub fn stage(&self) -> &S {
        &self.stage
    }

    fn into_stage<T>(self, next: impl FnOnce(S) -> T) -> Request<T> {
        Request {
            head: self.head,
            stage: next(self.stage),
        }
    }
}
