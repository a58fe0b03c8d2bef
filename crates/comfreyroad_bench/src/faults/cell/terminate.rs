use std::time::{Duration, Instant};

use comfreyroad_fakes::load::Verdict;

use crate::Result;
use crate::faults::{Check, Testbed};

/// The entry that is asked to end.
const ENTRY: &str = "entry-3";
/// Time for it to end.
const TIMEOUT: Duration = Duration::from_secs(12);

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    // A broken stream must be seen, so nobody asks again.
    let mut load = testbed.load(6);
    load.flags.retain(|flag| flag != "--retry-broken");
    let load = load
        .with_flag("--bookings", "10")
        .with_flag("--lookups", "10")
        .with_flag("--drafts", "100");
    let mut ended = None;
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(3.0).await;
        if let Some(entry) = testbed.deployment.entries.get_mut(ENTRY) {
            entry.terminate()?;
            let begin = Instant::now();
            let status = entry.wait(begin + TIMEOUT).await?;
            ended = Some((status, begin.elapsed()));
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
    let is_clean = ended.is_some_and(|(status, _)| status.success());
    checks.push(Check::new(
        "the entry ends by itself",
        is_clean,
        format!("{ended:?}"),
    ));
    testbed.deployment.stop().await?;
    Ok(checks)
}
