//! Records that the system keeps in the platform's log.

mod bill;
mod key;
mod record;
mod replay;
mod stream;

use std::time::Duration;

/// Time for which a request's id is known, by the log's own time: two requests with one id that are further apart are
/// different ones. All readers have to go by the same; the log must keep records for more than twice as long.
pub const REQUEST_ID_LIFETIME: Duration = Duration::from_secs(20 * 60);

pub use bill::Bill;
pub use key::Key;
pub use record::{Outcome, Record, Writer};
pub use replay::Replay;
pub use stream::Stream;
