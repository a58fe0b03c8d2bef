//! The time, and whether the process stood still.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use comfreyroad::clock::Now;
use comfreyroad_router::id::Incarnation;
use rustix::time::{ClockId, clock_gettime};

/// Time beyond the expected after which the process counts as paused: far more than a loaded machine delays a timer, and
/// less than the time after which peers are lost.
const PAUSE: Duration = Duration::from_millis(900);

/// The time.
pub fn now() -> Now {
    Now {
        instant: Instant::now(),
        system: SystemTime::now(),
    }
}

/// The time of day in milliseconds since the Unix epoch, which names this start of the process.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as Incarnation)
}

/// Notices pauses: a stopped process by a late timer, a suspended machine by the clock that counts suspended time.
#[derive(Debug)]
pub struct Watch {
    booted: Duration,
}

impl Default for Watch {
    fn default() -> Self {
        Self { booted: booted() }
    }
}

impl Watch {
    /// Whether far more time has passed since the last look than was planned.
    pub fn has_paused(&mut self, planned: Duration) -> bool {
        let before = std::mem::replace(&mut self.booted, booted());
        self.booted.saturating_sub(before) > planned + PAUSE
    }
}

/// Time since the machine was started, that in suspension included.
fn booted() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}
