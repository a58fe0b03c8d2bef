//! A simple stateless router that serves as the baseline of measurements. It uses the VM list, load reports and the rules.
//!
//! It checks API keys and allowed versions and skips zones that the rules take out of service. It has no sessions, claims,
//! bills, retries or queues, and does not limit the load of cold upstreams.

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
