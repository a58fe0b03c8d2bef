use serde_json::json;

use crate::Result;
use crate::faults::{Check, Testbed};

/// Start and end of the log outage, in milliseconds from the start of the load.
const OUTAGE_MS: (u64, u64) = (1000, 5000);

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    let load = testbed.load(6);
    let fault = async |testbed: &mut Testbed| {
        let (from, to) = OUTAGE_MS;
        testbed.wait_until(from as f64 / 1000.0).await;
        testbed
            .inject_log_faults(json!({ "outage_ms": to - from }))
            .await
    };
    let trace = testbed.run_load(load, fault).await?;
    let evidence = testbed.collect_evidence(trace).await?;
    let mut checks = evidence.common_checks();
    let during =
        evidence.lines(|line| line.is_chat() && (OUTAGE_MS.0..OUTAGE_MS.1).contains(&line.at_ms));
    let on_time = during.iter().filter(|line| line.is_on_time()).count();
    let details = format!("{on_time} of {} chats on time", during.len());
    checks.push(Check::new(
        "chats are served during a log outage",
        on_time == during.len(),
        details,
    ));
    testbed.deployment.stop().await?;
    Ok(checks)
}
