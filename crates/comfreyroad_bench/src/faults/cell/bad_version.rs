use comfreyroad_fakes::answer::Quality;

use crate::Result;
use crate::binaries::Binaries;
use crate::faults::testbed::RULES;
use crate::faults::{Check, Testbed};
use crate::ledger;

/// The version that starts to give bad answers.
const VERSION: &str = "brush@4";
/// Seconds from the start of the load to the first bad answers.
const BAD_AT_S: f64 = 2.0;
/// Milliseconds from the start of the load by which the version must be on hold.
const HOLD_DEADLINE_MS: u64 = 8000;

pub(super) async fn run(seed: u64, binaries: &Binaries) -> Result<Vec<Check>> {
    // Sends half of the model's new sessions to the bad version, so that it gets enough requests to be detected.
    let rules = RULES
        .replace("share=95 ", "share=50 ")
        .replace("share=5 ", "share=50 ");
    let mut testbed = Testbed::start_with(seed, &rules, binaries).await?;
    // All callers request the model by name, because both of its versions are in use.
    let load = testbed
        .load(11)
        .with_flag("--draft-model", "brush")
        .with_flag("--whole-model", "brush");
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(BAD_AT_S).await;
        testbed.set_version_bad(VERSION, true).await
    };
    let trace = testbed.run_load(load, fault).await?;
    let held = ledger::held_versions(testbed.deployment.addresses().log()).await?;
    let evidence = testbed.collect_evidence(trace).await?;
    let mut checks = evidence.common_checks();
    let bad = evidence.lines(|line| line.quality == Some(Quality::Bad));
    let late = bad
        .iter()
        .filter(|line| line.at_ms > HOLD_DEADLINE_MS)
        .count();
    let details = format!(
        "{} bad answers, {late} of them requested later than 6 s after the version turned bad",
        bad.len()
    );
    checks.push(Check::new(
        "a bad version gets no new work once it is detected",
        !bad.is_empty() && late == 0,
        details,
    ));
    let is_held = held.iter().any(|version| version == VERSION);
    checks.push(Check::new(
        "a bad version is held on the log",
        is_held,
        format!("held: {held:?}"),
    ));
    testbed.deployment.stop().await?;
    Ok(checks)
}
