//! Clocks, and detection of pauses of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use comfreyroad::clock::Now;
use comfreyroad_router::id::Incarnation;
use rustix::time::{ClockId, clock_gettime};

/// Delay of a timer beyond which the process counts as paused: far more than a loaded machine delays a timer, and less
/// than the time after which peers count as lost.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(900);

/// The current monotonic time and time of day.
pub fn now() -> Now {
    Now {
        instant: Instant::now(),
        system: SystemTime::now(),
    }
}

/// Identifies this start of the process, by the current time in milliseconds since the Unix epoch.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as Incarnation)
}

/// Detects pauses of the process: a stopped process by a late timer, a suspended machine by the boot-time clock, which
/// also runs during suspension.
#[derive(Debug)]
pub struct Watchdog {
    last_check: Duration,
}

impl Default for Watchdog {
    fn default() -> Self {
        Self {
            last_check: time_since_boot(),
        }
    }
}

impl Watchdog {
    /// Whether more than `planned` plus the threshold has passed since the last check.
    pub fn has_paused(&mut self, planned: Duration) -> bool {
        let before = std::mem::replace(&mut self.last_check, time_since_boot());
        self.last_check.saturating_sub(before) > planned + PAUSE_THRESHOLD
    }
}

/// Time since the machine booted, including time in suspension.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}
