//! A request's life, from its arrival to its bill.
//!
//! ```text
//! Received -> Allowed -> Pinned -> Claimed -> Placed -> Sent -> Answered -> Billed
//!                                     ^          ^        |
//!                                     |       Retrying <--+  (only what may be repeated)
//!                                     +-------------------+  (only what was provably not sent)
//! ```
//!
//! Each stage is a type, and only the filter of a stage can take a request out of it. [`Unsent`] marks the stages in
//! which no upstream has seen the request: only from these can a refusal say that it has not run.

mod allowed;
mod answered;
mod choice;
mod claimed;
mod class;
mod head;
mod judged;
mod pinned;
mod placed;
mod received;
mod retrying;
mod sending;
mod sent;
mod target;

pub use allowed::{Allowed, Repeat};
pub use answered::{Answered, Billed, Usage};
pub use choice::Choice;
pub use claimed::Claimed;
pub use class::Class;
pub use head::Head;
pub use judged::Judged;
pub use pinned::{Pinned, Plan};
pub use placed::{Origin, Placed};
pub use received::Received;
pub use retrying::Retrying;
pub use sending::Sending;
pub use sent::{Returned, Sent};
pub use target::{Chat, Service, Target};

use std::rc::Rc;

/// A stage of a request's life.
pub trait Stage {
    /// Name of the step that handles requests of this stage.
    const NAME: &'static str;
}

/// A stage in which no upstream has seen the request.
pub trait Unsent: Stage + sealed::Sealed {
    /// Whether the log proves that no earlier attempt has run.
    fn is_proven(&self) -> bool {
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
    fn is_proven(&self) -> bool {
        self.proof.is_some()
    }
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

    /// The same, shared.
    pub fn shared_head(&self) -> Rc<Head> {
        Rc::clone(&self.head)
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
