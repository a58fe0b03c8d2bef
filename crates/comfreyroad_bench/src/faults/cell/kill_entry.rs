use crate::Result;
use crate::faults::{Check, Testbed};

/// The entry that is killed.
const ENTRY: &str = "entry-2";
/// Number of that entry in the deployment.
const ENTRY_NUMBER: u8 = 1;

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    let load = testbed
        .load(6)
        .with_flag("--bookings", "10")
        .with_flag("--lookups", "10")
        .with_flag("--drafts", "100");
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(2.0).await;
        if let Some(entry) = testbed.deployment.entries.get_mut(ENTRY) {
            entry.kill()?;
        }
        testbed.wait_until(4.0).await;
        testbed.deployment.start_entry(ENTRY_NUMBER)
    };
    let trace = testbed.run_load(load, fault).await?;
    let evidence = testbed.collect_evidence(trace).await?;
    let mut checks = evidence.common_checks();
    let is_cut = |code: &String| code == "stream_broken" || code == "no_answer";
    let cut = evidence.lines(|line| line.is_chat() && line.codes.iter().any(is_cut));
    let late = evidence
        .lines(|line| line.is_chat() && !line.is_on_time())
        .len();
    let details = format!(
        "{} chats cut by the kill and retried, {late} chats not on time",
        cut.len()
    );
    let is_served = !cut.is_empty() && late == 0;
    checks.push(Check::new(
        "callers are served by other entries",
        is_served,
        details,
    ));
    testbed.deployment.stop().await?;
    Ok(checks)
}
