//! What operators publish: routes, services, customers and limits.

mod configuration;
mod customer;
mod limits;
mod repeat;
mod route;
mod service;
mod split;

pub use configuration::Configuration;
pub use customer::Customer;
pub use limits::Limits;
pub use repeat::Repeat;
pub use route::Route;
pub use service::{Cold, Service};
pub use split::Split;
