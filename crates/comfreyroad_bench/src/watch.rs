//! Watches upstreams for new work.

use std::time::{Duration, Instant};

use compio::time::sleep;

use crate::deployment::Deployment;
use crate::journal::{Journal, Journals};
use crate::{Result, ZoneId};

/// Interval between two reads of the journals.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Watches the upstreams of a zone for new work.
pub struct Watch<'a> {
    deployment: &'a Deployment,
    zone: ZoneId,
}

impl<'a> Watch<'a> {
    /// Creates a watch of one zone.
    #[must_use]
    pub fn new(deployment: &'a Deployment, zone: &str) -> Self {
        let zone = zone.to_owned();
        Self { deployment, zone }
    }

    /// Polls the journals until `end` and returns the time of the last poll that found new work.
    pub async fn last_new_work(&self, end: Instant) -> Result<Option<Instant>> {
        let mut before = self.work().await?;
        let mut last = None;
        while Instant::now() < end {
            sleep(POLL_INTERVAL).await;
            let seen = Instant::now();
            let work = self.work().await?;
            if work > before {
                last = Some(seen);
                before = work;
            }
        }
        Ok(last)
    }

    /// Work that the zone's upstreams have accepted so far.
    pub async fn work(&self) -> Result<u64> {
        let mut journals = Journals::default();
        for (id, (zone, address)) in self.deployment.upstreams() {
            if *zone == self.zone {
                let journal: Journal = self
                    .deployment
                    .http()
                    .get("read journal", *address, "/journal")
                    .await?;
                journals.by_vm.insert(id.clone(), journal);
            }
        }
        Ok(journals.work().values().sum())
    }
}
