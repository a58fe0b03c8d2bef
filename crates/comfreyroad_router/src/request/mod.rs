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
//! Each stage is a type. [`Unexecuted`] marks the stages in which no upstream has run the request: a refusal that promises so
//! can be built from these alone.

mod authenticated;
mod head;
mod matched;
mod part;
mod placed;
mod plan;
mod planned;
mod received;
mod rejection;
mod retrying;
mod sent;

use std::rc::Rc;

use crate::refusal::{Code, Refusal};

pub use authenticated::Authenticated;
pub use head::Head;
pub use matched::Matched;
pub use part::Part;
pub use placed::{Origin, Placed};
pub use plan::Plan;
pub use planned::Planned;
pub use received::Received;
pub use rejection::Rejection;
pub use retrying::Retrying;
pub use sent::{Returned, Sent};

/// A stage of a request's life.
pub trait Stage {
    /// Name of the step that handles requests of this stage.
    const STEP: &'static str;
}

/// A stage in which no upstream has run the request.
pub trait Unexecuted: Stage + sealed::Sealed {}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Received {}
    impl Sealed for super::Matched {}
    impl Sealed for super::Authenticated {}
    impl Sealed for super::Planned {}
}

impl Unexecuted for Received {}
impl Unexecuted for Matched {}
impl Unexecuted for Authenticated {}
impl Unexecuted for Planned {}

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
