use serde_json::json;

use crate::Result;
use crate::faults::{Check, Testbed};

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    let mut load = testbed.load(6);
    load.rate = 30.0;
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(2.0).await;
        testbed
            .inject_upstream_faults("eng-1", json!({ "restart": true }))
            .await?;
        testbed.wait_until(4.0).await;
        testbed
            .inject_upstream_faults("eng-4", json!({ "restart": true }))
            .await
    };
    let trace = testbed.run_load(load, fault).await?;
    let checks = testbed.collect_evidence(trace).await?.common_checks();
    testbed.deployment.stop().await?;
    Ok(checks)
}
