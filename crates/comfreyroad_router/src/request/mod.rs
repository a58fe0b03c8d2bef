//! The life cycle of a request as typestates, from its arrival to the end of its answer.
//!
//! ```text
//! Received -> Matched -> Authenticated -> Planned -> Placed -> Sent -> answer
//!                                         ^          ^  |      |
//!                                         +----------|--+      |  (certainly not run)
//!                                         +----------|---------+
//!                                                Retrying <----+  (may have run and may run again)
//! ```
//!
//! Each stage is a type. [`Unexecuted`] marks the stages in which no upstream has run the request. A refusal that promises that
//! the request has not run can be built from these stages only.

mod authenticated;
mod head;
mod matched;
mod part;
mod placed;
mod plan;
mod planned;
mod rank;
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
pub use rank::Rank;
pub use received::Received;
pub use rejection::Rejection;
pub use retrying::Retrying;
pub use sent::{Returned, Sent};

/// A stage of the life cycle.
pub trait Stage {
    /// Name of the step that processes requests of this stage.
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

/// A stage in which the request has a plan and needs a slot at an upstream.
pub trait Unplaced: Stage + Sized {
    /// The plan of the request.
    fn plan(&self) -> &Plan;
    /// Creates a refusal that says truthfully whether the request may have run.
    fn refuse(request: &Request<Self>, code: Code) -> Refusal;
    /// The stage and its plan, kept in the following stages.
    fn into_origin(self) -> Origin;
}

/// A request at one stage of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    head: Rc<Head>,
    stage: S,
}

impl<S: Stage> Request<S> {
    /// The head of the request as the caller sent it.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// The data of the current stage.
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
