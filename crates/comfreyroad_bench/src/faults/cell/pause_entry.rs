use crate::Result;
use crate::faults::{Check, Stage};

/// The entry that stands still.
const ENTRY: &str = "entry-1";

pub(super) async fn run(mut stage: Stage) -> Result<Vec<Check>> {
    let load = stage
        .load(7)
        .with_flag("--bookings", "50")
        .with_flag("--lookups", "10");
    let fault = async |stage: &mut Stage| {
        stage.at(1.0).await;
        if let Some(entry) = stage.deployment.entries.get_mut(ENTRY) {
            entry.pause()?;
        }
        stage.at(6.0).await;
        if let Some(entry) = stage.deployment.entries.get_mut(ENTRY) {
            entry.resume()?;
        }
        Ok(())
    };
    let trace = stage.under(load, fault).await?;
    let checks = stage.evidence(trace).await?.usual();
    stage.deployment.stop().await?;
    Ok(checks)
}
