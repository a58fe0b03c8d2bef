//! Stand-in for a model engine.
//!
//! Its cache holds the prefixes that [`crate::chat::Chat::prefixes`] returns.

mod attempt;
mod breaks;
mod cache;
mod chunk;
mod journal;
mod orders;
mod run;
mod service;
mod settings;

pub use cache::Cache;
pub use chunk::{Chunk, Usage};
pub use journal::Journal;
pub use orders::Orders;
pub use run::{Decode, Interruption, Prefill, Run};
pub use service::Service;
pub use settings::{Fencing, Settings};
