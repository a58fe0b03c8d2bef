use std::time::Duration;

use super::{Deployment, Group};
use crate::binaries::Binaries;
use crate::router::Policy;
use crate::{Result, ZoneId};

/// Default peer timeout of the entry daemon.
const DEFAULT_PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Additional time for the last entry to discover its peers.
const SETTLING_MARGIN: Duration = Duration::from_secs(1);

/// The processes to start and their settings.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The rules to publish; nothing is published when empty.
    pub rules: String,
    /// Availability zones.
    pub zones: Vec<ZoneId>,
    /// Groups of upstreams.
    pub groups: Vec<Group>,
    /// Number of entries, distributed evenly over the zones.
    pub entries: u8,
    /// One-way network delay of calls to fake services.
    pub delay: Duration,
    /// Seed of the fake services and entries.
    pub seed: u64,
    /// Runs baseline routers with this policy instead of entries.
    pub policy: Option<Policy>,
    /// Silence after which an entry considers a peer lost.
    pub peer_timeout: Duration,
    /// Additional flags of the entries.
    pub entry_flags: Vec<String>,
}

impl Plan {
    /// Creates a plan with rules and zones and without VMs.
    #[must_use]
    pub fn new(rules: &str, zones: &[&str]) -> Self {
        Self {
            rules: rules.to_owned(),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            groups: Vec::new(),
            entries: 0,
            delay: Duration::ZERO,
            seed: 1,
            policy: None,
            peer_timeout: DEFAULT_PEER_TIMEOUT,
            entry_flags: Vec::new(),
        }
    }

    /// Sets the silence after which an entry considers a peer lost.
    #[must_use]
    pub fn with_peer_timeout(self, peer_timeout: Duration) -> Self {
        Self {
            peer_timeout,
            ..self
        }
    }

    /// Time until new entries have divided the slots of cold upstreams among them: an entry uses its slots after two peer
    /// timeouts.
    #[must_use]
    pub fn settling_time(&self) -> Duration {
        self.peer_timeout * 2 + SETTLING_MARGIN
    }

    /// Adds a group of upstreams.
    #[must_use]
    pub fn with_group(mut self, group: Group) -> Self {
        self.groups.push(group);
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn with_entries(self, entries: u8) -> Self {
        Self { entries, ..self }
    }

    /// Sets the one-way network delay of calls to fake services.
    #[must_use]
    pub fn with_delay(self, delay: Duration) -> Self {
        Self { delay, ..self }
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Runs baseline routers with this policy instead of entries.
    #[must_use]
    pub fn with_policy(self, policy: Option<Policy>) -> Self {
        Self { policy, ..self }
    }

    /// Adds a flag with a value to all entries.
    #[must_use]
    pub fn with_entry_flag(mut self, name: &str, value: &str) -> Self {
        self.entry_flags.extend([name.to_owned(), value.to_owned()]);
        self
    }

    /// Zone of the entry or the VM of a group with this number.
    #[must_use]
    pub fn zone(&self, number: u8) -> &str {
        let zones = self.zones.len().max(1);
        self.zones
            .get(usize::from(number) % zones)
            .map_or("", String::as_str)
    }

    /// Starts the processes, publishes the rules and waits until all entries use the upstreams.
    pub async fn start(self, binaries: &Binaries) -> Result<Deployment> {
        Deployment::start(self, binaries).await
    }
}
