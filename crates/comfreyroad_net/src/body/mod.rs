//! Bodies of requests and responses: complete bytes, or chunks from a sender.

mod channel;
mod content;
mod sender;

pub use channel::Aborted;
pub use content::Body;
pub use sender::{Closed, Sender};
