//! Events, the only input of an entry.

mod event;
mod page;
mod signal;
mod unwritten;

pub use event::Event;
pub use page::{Entry as LogEntry, Page};
pub use signal::{Failure, Signal};
pub use unwritten::Unwritten;
