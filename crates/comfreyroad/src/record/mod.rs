//! Records that the system keeps in the platform's log.

mod bill;
mod key;
mod record;
mod replay;
mod stream;

pub use bill::Bill;
pub use key::Key;
pub use record::{Outcome, Record, Writer};
pub use replay::Replay;
pub use stream::Stream;
