use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::Result;
use crate::faults::testbed::RULES;
use crate::faults::{Check, Testbed};
use crate::folder;

/// Timeout for both publishes.
const TIMEOUT: Duration = Duration::from_secs(12);

/// The part of an entry's status that the check reads.
#[derive(Debug, Deserialize)]
struct Status {
    generation: u64,
}

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    let load = testbed.load(3);
    let mut checks = Vec::new();
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(1.0).await;
        checks.extend(race(testbed).await?);
        Ok(())
    };
    let trace = testbed.run_load(load, fault).await?;
    checks.extend(testbed.collect_evidence(trace).await?.common_checks());
    testbed.deployment.stop().await?;
    Ok(checks)
}

async fn race(testbed: &Testbed) -> Result<Vec<Check>> {
    let deployment = &testbed.deployment;
    let rules = RULES.replacen("after 0", "after 1", 1);
    let mut ada = deployment.start_publish("ada", &rules.replace("cost=400", "cost=410"))?;
    let mut bob = deployment.start_publish("bob", &rules.replace("cost=400", "cost=420"))?;
    let deadline = Instant::now() + TIMEOUT;
    let codes = [
        ada.wait(deadline).await?.code(),
        bob.wait(deadline).await?.code(),
    ];
    let (winner, loser) = if codes[0] == Some(0) {
        ("ada", &bob)
    } else {
        ("bob", &ada)
    };
    let output = folder::read(loser.output())?;
    let last = output.lines().last().unwrap_or_default().to_owned();
    let mut generations = Vec::new();
    for address in deployment.entry_addresses() {
        let status: Status = deployment
            .http()
            .get("read status", address, "/status")
            .await?;
        generations.push(status.generation);
    }
    let mut sorted = codes;
    sorted.sort_unstable();
    Ok(vec![
        Check::new(
            "exactly one of two concurrent publishes succeeds",
            sorted == [Some(0), Some(1)],
            format!("exit codes {codes:?}"),
        ),
        Check::new(
            "the losing publish names the winner",
            last.contains(winner),
            format!("output: {last}"),
        ),
        Check::new(
            "the winner's rules are in force in all entries",
            generations == [2, 2, 2],
            format!("generations {generations:?}"),
        ),
    ])
}
