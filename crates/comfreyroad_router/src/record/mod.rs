//! Decoded records of the platform's store.

mod content;
pub mod position;
mod record;
mod topic;

pub use content::Content;
pub use record::Record;
pub use topic::Topic;
