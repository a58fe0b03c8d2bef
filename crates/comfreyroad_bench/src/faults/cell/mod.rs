mod bad_version;
mod cold_restart;
mod kill_entry;
mod log_outage;
mod lost_acks;
mod pause_entry;
mod publish_race;
mod terminate;
mod zone_out;

use super::{Outcome, Testbed};
use crate::Result;
use crate::binaries::Binaries;

/// A fault cell: one fault, injected at one point of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cell {
    /// An entry is killed while it streams; its callers retry at other entries.
    KillEntry,
    /// An entry is paused for five seconds while bookings arrive.
    PauseEntry,
    /// The log refuses all calls for a while.
    LogOutage,
    /// Appends and bookings take effect, but their answers are lost.
    LostAcks,
    /// A publish takes a zone out of service, and another brings it back.
    ZoneOut,
    /// A version under rollout starts to give bad answers.
    BadVersion,
    /// An engine restarts without notice.
    ColdRestart,
    /// Two operators publish concurrently.
    PublishRace,
    /// An entry gets SIGTERM while it streams.
    Terminate,
}

impl Cell {
    /// All cells.
    pub const ALL: [Self; 9] = [
        Self::KillEntry,
        Self::PauseEntry,
        Self::LogOutage,
        Self::LostAcks,
        Self::ZoneOut,
        Self::BadVersion,
        Self::ColdRestart,
        Self::PublishRace,
        Self::Terminate,
    ];

    /// Name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::KillEntry => "kill-entry",
            Self::PauseEntry => "pause-entry",
            Self::LogOutage => "log-outage",
            Self::LostAcks => "lost-acks",
            Self::ZoneOut => "zone-out",
            Self::BadVersion => "bad-version",
            Self::ColdRestart => "cold-restart",
            Self::PublishRace => "publish-race",
            Self::Terminate => "terminate",
        }
    }

    /// Starts the testbed, injects the fault, checks the guarantees and stops the testbed.
    pub async fn run(self, seed: u64, binaries: &Binaries) -> Result<Outcome> {
        let checks = match self {
            Self::KillEntry => kill_entry::run(Testbed::start(seed, binaries).await?).await,
            Self::PauseEntry => pause_entry::run(Testbed::start(seed, binaries).await?).await,
            Self::LogOutage => log_outage::run(Testbed::start(seed, binaries).await?).await,
            Self::LostAcks => lost_acks::run(Testbed::start(seed, binaries).await?).await,
            Self::ZoneOut => zone_out::run(Testbed::start(seed, binaries).await?).await,
            Self::BadVersion => bad_version::run(seed, binaries).await,
            Self::ColdRestart => cold_restart::run(Testbed::start(seed, binaries).await?).await,
            Self::PublishRace => publish_race::run(Testbed::start(seed, binaries).await?).await,
            Self::Terminate => terminate::run(Testbed::start(seed, binaries).await?).await,
        };
        Ok(Outcome::new(self.name(), seed, checks?))
    }
}
