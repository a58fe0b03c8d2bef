use std::time::{Duration, Instant};

use crate::Result;
use crate::faults::stage::RULES;
use crate::faults::{Check, Stage};
use crate::watch::Watch;

/// The zone that operators take out.
const ZONE: &str = "b";
/// How long the zone is watched before it is out.
const LOOK: Duration = Duration::from_millis(1000);
/// Time after which it must get no new work.
const BOUND: Duration = Duration::from_secs(4);

pub(super) async fn run(mut stage: Stage) -> Result<Vec<Check>> {
    let load = stage.load(9);
    let out = rules(1).replace("zone b state=in", "zone b state=out");
    let back = rules(2);
    let mut checks = Vec::new();
    let fault = async |stage: &mut Stage| {
        stage.at(2.0).await;
        let watch = Watch::new(&stage.deployment, ZONE);
        let seen = watch.last_work(Instant::now() + LOOK).await?;
        let figures = format!("new work seen: {}", seen.is_some());
        checks.push(Check::new(
            "the zone works at first",
            seen.is_some(),
            figures,
        ));
        let begin = Instant::now();
        let publish = stage.deployment.publish("winston", &out);
        let look = watch.last_work(begin + BOUND + Duration::from_millis(500));
        let (last, _) = futures_util::future::try_join(look, publish).await?;
        let last = last.map_or(Duration::ZERO, |at| at.duration_since(begin));
        let figures = format!("last new work after {last:.2?}");
        checks.push(Check::new(
            "a zone that is out gets no new work after 4 s",
            last < BOUND,
            figures,
        ));
        let idle = watch.work().await?;
        stage.deployment.publish("winston", &back).await?;
        stage.at(9.0).await;
        let more = watch.work().await? - idle;
        checks.push(Check::new(
            "a zone that is back gets work",
            more > 0,
            format!("{more} requests"),
        ));
        Ok(())
    };
    let trace = stage.under(load, fault).await?;
    checks.extend(stage.evidence(trace).await?.usual());
    stage.deployment.stop().await?;
    Ok(checks)
}

fn rules(after: u32) -> String {
    RULES.replacen("after 0", &format!("after {after}"), 1)
}
