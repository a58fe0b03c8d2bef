//! Deployments of fake services and entries, started from a plan.

mod addresses;
mod deployment;
mod group;
mod plan;

pub use addresses::Addresses;
pub use deployment::Deployment;
pub use group::Group;
pub use plan::Plan;
