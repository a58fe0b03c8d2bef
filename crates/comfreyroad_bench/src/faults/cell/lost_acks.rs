use serde_json::json;

use crate::Result;
use crate::faults::{Check, Testbed};

/// Number of lost answers to appends, and to bookings at each service.
const LOST_ANSWERS: (u32, u32) = (15, 3);

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    let load = testbed
        .load(5)
        .with_flag("--bookings", "50")
        .with_flag("--lookups", "10");
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(1.0).await;
        testbed
            .inject_log_faults(json!({ "lose_appends": LOST_ANSWERS.0 }))
            .await?;
        testbed.wait_until(2.5).await;
        testbed
            .inject_faults_everywhere(json!({ "lose_bookings": LOST_ANSWERS.1 }))
            .await
    };
    let trace = testbed.run_load(load, fault).await?;
    let evidence = testbed.collect_evidence(trace).await?;
    let mut checks = evidence.common_checks();
    let unclear = evidence.lines(|line| line.codes.iter().any(|code| code == "upstream_failed"));
    let executed = unclear
        .iter()
        .filter(|line| evidence.journals.has_booked(&line.id));
    let details = format!("{} of {} ran", executed.count(), unclear.len());
    checks.push(Check::new(
        "the fault lost answers to requests",
        !unclear.is_empty(),
        details,
    ));
    testbed.deployment.stop().await?;
    Ok(checks)
}
