//! Records that the system writes to the platform's log.

mod bill;
mod key;
mod record;
mod replay;
mod stream;

use std::time::Duration;

/// Time for which a request id stays reserved, by the timestamps of the log. Requests with the same id that are further
/// apart are different requests. All readers must use the same value, and the log must retain records for more than
/// twice as long.
pub const REQUEST_ID_LIFETIME: Duration = Duration::from_secs(20 * 60);

pub use bill::Bill;
pub use key::Key;
pub use record::{Outcome, Record, Writer};
pub use replay::Replay;
pub use stream::Stream;
