//! The life cycle of a request, from its arrival to its bill.
//!
//! ```text
//! Received -> Allowed -> Pinned -> Claimed -> Placed -> Sent -> Answered -> Billed
//!                                     ^          ^        |
//!                                     |       Retrying <--+  (idempotent requests only)
//!                                     +-------------------+  (only if provably not sent)
//! ```
//!
//! A request answered by a version that is not the last of its chain is [`Unrated`]. It becomes [`Answered`] or
//! [`Retrying`] once the rating is known or has failed.
//!
//! Each stage is a type, and only the filter of a stage moves a request on to the next one. [`Unsent`] marks the stages
//! in which no upstream has seen the request. Only in these stages can a refusal state that the request has not run.

mod allowed;
mod answered;
mod attempt;
mod choice;
mod claimed;
mod class;
mod head;
mod pinned;
mod placed;
mod received;
mod retrying;
mod sent;
mod target;
mod unrated;

pub use allowed::{Allowed, Repeat};
pub use answered::{Answered, Billed, Usage};
pub use attempt::Attempt;
pub use choice::Choice;
pub use claimed::Claimed;
pub use class::Class;
pub use head::Head;
pub use pinned::{Pinned, Plan};
pub use placed::{Origin, Placed};
pub use received::Received;
pub use retrying::Retrying;
pub use sent::{Returned, Sent};
pub use target::{Chat, Service, Target};
pub use unrated::Unrated;

use std::rc::Rc;

/// A stage of the life cycle of a request.
pub trait Stage {
    /// Name of the step that handles requests in this stage.
    const NAME: &'static str;
}

/// A stage in which no upstream has seen the request.
pub trait Unsent: Stage + sealed::Sealed {
    /// Whether the log proves that no earlier attempt of the caller has run.
    fn has_proof(&self) -> bool {
        false
    }
}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Received {}
    impl Sealed for super::Allowed {}
    impl Sealed for super::Pinned {}
    impl Sealed for super::Claimed {}
}

impl Unsent for Received {}
impl Unsent for Allowed {}
impl Unsent for Pinned {}
impl Unsent for Claimed {
    fn has_proof(&self) -> bool {
        self.proof.is_some()
    }
}

/// A request in one stage of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    head: Rc<Head>,
    stage: S,
}

impl<S: Stage> Request<S> {
    /// The request as received from the caller.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// A shared reference to the head, which can outlive the request.
    pub fn shared_head(&self) -> Rc<Head> {
        Rc::clone(&self.head)
    }

    /// The results of the filters so far.
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
