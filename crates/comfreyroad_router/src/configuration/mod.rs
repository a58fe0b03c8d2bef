//! The operators' configuration: routes, services, customers and limits.

pub mod check;
mod configuration;
mod customer;
mod idempotency;
mod limits;
mod route;
mod service;
mod split;

pub use configuration::Configuration;
pub use customer::Customer;
pub use idempotency::Idempotency;
pub use limits::Limits;
pub use route::Route;
pub use service::{Service, Warmup};
pub use split::Split;
