use crate::Result;
use crate::faults::{Check, Testbed};

/// The entry that is paused.
const ENTRY: &str = "entry-1";

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    let load = testbed
        .load(7)
        .with_flag("--bookings", "50")
        .with_flag("--lookups", "10");
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(1.0).await;
        if let Some(entry) = testbed.deployment.entries.get_mut(ENTRY) {
            entry.pause()?;
        }
        testbed.wait_until(6.0).await;
        if let Some(entry) = testbed.deployment.entries.get_mut(ENTRY) {
            entry.resume()?;
        }
        Ok(())
    };
    let trace = testbed.run_load(load, fault).await?;
    let checks = testbed.collect_evidence(trace).await?.common_checks();
    testbed.deployment.stop().await?;
    Ok(checks)
}
