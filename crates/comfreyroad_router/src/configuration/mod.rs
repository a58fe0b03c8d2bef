//! What operators publish: routes, services, customers and limits.

mod configuration;
mod customer;
mod limits;
mod retry_policy;
mod route;
mod service;
mod traffic_split;

pub use configuration::Configuration;
pub use customer::Customer;
pub use limits::Limits;
pub use retry_policy::RetryPolicy;
pub use route::Route;
pub use service::{ColdLimit, Service};
pub use traffic_split::TrafficSplit;
