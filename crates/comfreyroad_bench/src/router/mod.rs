//! A small router to compare with: it knows the VM list, load reports and the rules, and keeps nothing of a request.
//!
//! It checks keys and allowed versions and leaves zones out as the rules say. It has no sessions, claims, bills, retries,
//! queues or care for cold upstreams.

mod policy;
mod refresh;
mod refusal;
mod router;
mod settings;
mod state;

pub use policy::Policy;
pub use router::Router;
pub use settings::Settings;
pub use state::{Call, State, Target};
