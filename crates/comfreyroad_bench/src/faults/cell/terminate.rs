use std::time::{Duration, Instant};

use comfreyroad_fakes::load::Verdict;

use crate::Result;
use crate::faults::{Check, Testbed};

/// The entry that gets SIGTERM.
const ENTRY: &str = "entry-3";
/// Timeout for the entry to exit.
const TIMEOUT: Duration = Duration::from_secs(12);

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    // Callers do not retry broken streams, so that the trace shows each of them.
    let mut load = testbed.load(6);
    load.flags.retain(|flag| flag != "--retry-broken");
    let load = load
        .with_flag("--bookings", "10")
        .with_flag("--lookups", "10")
        .with_flag("--drafts", "100");
    let mut exited = None;
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(3.0).await;
        if let Some(entry) = testbed.deployment.entries.get_mut(ENTRY) {
            entry.terminate()?;
            let begin = Instant::now();
            let status = entry.wait(begin + TIMEOUT).await?;
            exited = Some((status, begin.elapsed()));
        }
        Ok(())
    };
    let trace = testbed.run_load(load, fault).await?;
    let evidence = testbed.collect_evidence(trace).await?;
    let mut checks = evidence.common_checks();
    let cut = evidence
        .lines(|line| matches!(line.verdict, Verdict::Broken | Verdict::RefusedMaybe))
        .len();
    checks.push(Check::new(
        "a graceful shutdown cuts no request",
        cut == 0,
        format!("{cut} cut"),
    ));
    let is_clean = exited.is_some_and(|(status, _)| status.success());
    checks.push(Check::new(
        "the entry exits cleanly",
        is_clean,
        format!("{exited:?}"),
    ));
    testbed.deployment.stop().await?;
    Ok(checks)
}
