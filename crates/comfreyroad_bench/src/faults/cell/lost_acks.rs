use serde_json::json;

use crate::Result;
use crate::faults::{Check, Stage};

/// Answers to appends, and to bookings at each service, that are lost.
const LOST: (u32, u32) = (15, 3);

pub(super) async fn run(mut stage: Stage) -> Result<Vec<Check>> {
    let load = stage
        .load(5)
        .with_flag("--bookings", "50")
        .with_flag("--lookups", "10");
    let fault = async |stage: &mut Stage| {
        stage.at(1.0).await;
        stage.fault_log(json!({ "lose_appends": LOST.0 })).await?;
        stage.at(2.5).await;
        stage
            .fault_upstreams(json!({ "lose_bookings": LOST.1 }))
            .await
    };
    let trace = stage.under(load, fault).await?;
    let evidence = stage.evidence(trace).await?;
    let mut checks = evidence.usual();
    let unclear = evidence.lines(|line| line.codes.iter().any(|code| code == "upstream_failed"));
    let booked = unclear
        .iter()
        .filter(|line| evidence.journals.has_booked(&line.id));
    let figures = format!("{} of {} ran", booked.count(), unclear.len());
    checks.push(Check::new(
        "lost answers were met",
        !unclear.is_empty(),
        figures,
    ));
    stage.deployment.stop().await?;
    Ok(checks)
}
