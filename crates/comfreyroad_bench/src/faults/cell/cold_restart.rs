use serde_json::json;

use crate::Result;
use crate::faults::{Check, Stage};

pub(super) async fn run(mut stage: Stage) -> Result<Vec<Check>> {
    let mut load = stage.load(6);
    load.rate = 30.0;
    let fault = async |stage: &mut Stage| {
        stage.at(2.0).await;
        stage
            .fault_upstream("eng-1", json!({ "restart": true }))
            .await?;
        stage.at(4.0).await;
        stage
            .fault_upstream("eng-4", json!({ "restart": true }))
            .await
    };
    let trace = stage.under(load, fault).await?;
    let checks = stage.evidence(trace).await?.usual();
    stage.deployment.stop().await?;
    Ok(checks)
}
