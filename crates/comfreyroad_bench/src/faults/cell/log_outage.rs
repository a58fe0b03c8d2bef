use serde_json::json;

use crate::Result;
use crate::faults::{Check, Stage};

/// Milliseconds of the load from which and until which the log is out.
const OUTAGE: (u64, u64) = (1000, 5000);

pub(super) async fn run(mut stage: Stage) -> Result<Vec<Check>> {
    let load = stage.load(6);
    let fault = async |stage: &mut Stage| {
        let (from, to) = OUTAGE;
        stage.at(from as f64 / 1000.0).await;
        stage.fault_log(json!({ "outage_ms": to - from })).await
    };
    let trace = stage.under(load, fault).await?;
    let evidence = stage.evidence(trace).await?;
    let mut checks = evidence.usual();
    let during =
        evidence.lines(|line| line.is_chat() && (OUTAGE.0..OUTAGE.1).contains(&line.at_ms));
    let on_time = during.iter().filter(|line| line.is_on_time()).count();
    let figures = format!("{on_time} of {} chats on time", during.len());
    checks.push(Check::new(
        "chats are served while the log is out",
        on_time == during.len(),
        figures,
    ));
    stage.deployment.stop().await?;
    Ok(checks)
}
