use std::time::{Duration, Instant};

use crate::Result;
use crate::faults::testbed::RULES;
use crate::faults::{Check, Testbed};
use crate::watch::Watch;

/// The zone that is taken out of service.
const ZONE: &str = "b";
/// Time for which the zone is watched before it is taken out.
const WATCH_TIME: Duration = Duration::from_millis(1000);
/// Time from the publish after which the zone must get no new work.
const NEW_WORK_LIMIT: Duration = Duration::from_secs(4);

pub(super) async fn run(mut testbed: Testbed) -> Result<Vec<Check>> {
    let load = testbed.load(9);
    let out = rules_after(1).replace("zone b state=in", "zone b state=out");
    let back = rules_after(2);
    let mut checks = Vec::new();
    let fault = async |testbed: &mut Testbed| {
        testbed.wait_until(2.0).await;
        let watch = Watch::new(&testbed.deployment, ZONE);
        let seen = watch.last_new_work(Instant::now() + WATCH_TIME).await?;
        let details = format!("new work seen: {}", seen.is_some());
        checks.push(Check::new(
            "the zone gets work before it is taken out",
            seen.is_some(),
            details,
        ));
        let begin = Instant::now();
        let publish = testbed.deployment.publish("winston", &out);
        let watching = watch.last_new_work(begin + NEW_WORK_LIMIT + Duration::from_millis(500));
        let (last, _) = futures_util::future::try_join(watching, publish).await?;
        let last = last.map_or(Duration::ZERO, |at| at.duration_since(begin));
        let details = format!("last new work after {last:.2?}");
        checks.push(Check::new(
            "a zone taken out of service gets no new work after 4 s",
            last < NEW_WORK_LIMIT,
            details,
        ));
        let before = watch.work().await?;
        testbed.deployment.publish("winston", &back).await?;
        testbed.wait_until(9.0).await;
        let more = watch.work().await? - before;
        checks.push(Check::new(
            "a zone brought back gets work",
            more > 0,
            format!("{more} requests"),
        ));
        Ok(())
    };
    let trace = testbed.run_load(load, fault).await?;
    checks.extend(testbed.collect_evidence(trace).await?.common_checks());
    testbed.deployment.stop().await?;
    Ok(checks)
}

fn rules_after(after: u32) -> String {
    RULES.replacen("after 0", &format!("after {after}"), 1)
}
