use std::time::{Duration, Instant};

use compio::time::sleep_until;
use futures_util::future::{try_join, try_join_all};
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::goodness::Goodness;
use super::{Contender, Sample, Timeline, processor};
use crate::binaries::Binaries;
use crate::deployment::Deployment;
use crate::firm::Firm;
use crate::watch::Watch;
use crate::{Result, VersionId};

/// An outage that lasts until it is ended.
const OUTAGE_MS: u64 = 3_600_000;

/// One run of one contender.
pub struct Run<'a> {
    /// The firm.
    pub firm: &'a Firm,
    /// What routes.
    pub contender: Contender,
    /// Seed of the load and the stand-ins.
    pub seed: u64,
    /// How long requests arrive.
    pub duration: Duration,
}

/// What the calm span used.
struct Used {
    tokens: IndexMap<VersionId, u64>,
    processor: Duration,
}

impl Run<'_> {
    /// Starts everything, runs through the spans, ends everything.
    pub async fn run(&self, binaries: &Binaries) -> Result<Sample> {
        let plan = self
            .firm
            .plan(self.seed)
            .with_policy(self.contender.policy());
        let deployment = plan.start(binaries).await?;
        let load = self
            .firm
            .load(&deployment, self.duration, self.seed)
            .with_flag("--health-ms", "250");
        let timeline = Timeline::new(Instant::now(), self.duration);
        let running = load.start(binaries, deployment.folder())?;
        let ((used, work), trace) =
            try_join(self.spans(&deployment, &timeline), running.finish()).await?;
        let sample = Sample::of_callers(&trace, &timeline)?;
        let calm = trace.between(
            timeline.millis(timeline.calm),
            timeline.millis(timeline.calm_end),
        );
        let score = Goodness::new(&self.firm.rules)?.score(&calm, &used.tokens);
        let journals = deployment.journals().await?;
        deployment.stop().await?;
        let sample = Sample {
            cost: score.cost,
            good: score.good,
            target: score.target,
            below: score.below,
            processor: used.processor.as_secs_f64() * 1e6 / calm.lines.len().max(1) as f64,
            zone_work: work.map_or(0.0, |at| at.duration_since(timeline.out).as_secs_f64()),
            falls: journals.falls(),
            doubled: journals.doubled().len() as u64,
            ..sample
        };
        Ok(sample)
    }

    /// Brings about what the timeline says.
    async fn spans(
        &self,
        deployment: &Deployment,
        timeline: &Timeline,
    ) -> Result<(Used, Option<Instant>)> {
        let used = calm(deployment, timeline).await?;
        sleep_until(timeline.bad).await;
        let rollout = &self.firm.rollout;
        self.fault_engines(deployment, &json!({ "bad_version": rollout }))
            .await?;
        sleep_until(timeline.bad_end).await;
        self.fault_engines(deployment, &json!({ "good_version": rollout }))
            .await?;
        sleep_until(timeline.out).await;
        let watch = Watch::new(deployment, &self.firm.zone);
        let (work, ()) = try_join(
            watch.last_work(timeline.power_off),
            self.take_out(deployment, timeline),
        )
        .await?;
        Ok((used, work))
    }

    async fn take_out(&self, deployment: &Deployment, timeline: &Timeline) -> Result<()> {
        deployment
            .publish("winston", &self.firm.rules_after(1, true))
            .await?;
        sleep_until(timeline.power_off).await;
        self.fault_zone(deployment, &json!({ "outage_ms": OUTAGE_MS }))
            .await?;
        sleep_until(timeline.back).await;
        self.fault_zone(deployment, &json!({ "outage_ms": 0, "restart": true }))
            .await?;
        deployment
            .publish("winston", &self.firm.rules_after(2, false))
            .await?;
        Ok(())
    }

    async fn fault_engines(&self, deployment: &Deployment, faults: &Value) -> Result<()> {
        let all = deployment.upstreams().values();
        try_join_all(all.map(|(_, address)| deployment.fault(*address, faults))).await?;
        Ok(())
    }

    async fn fault_zone(&self, deployment: &Deployment, faults: &Value) -> Result<()> {
        let all = deployment.upstreams().values();
        let in_zone = all.filter(|(zone, _)| *zone == self.firm.zone);
        try_join_all(in_zone.map(|(_, address)| deployment.fault(*address, faults))).await?;
        Ok(())
    }
}

/// Notes what the calm span uses.
async fn calm(deployment: &Deployment, timeline: &Timeline) -> Result<Used> {
    sleep_until(timeline.calm).await;
    let before = deployment.journals().await?.tokens();
    let processor_before = processor::used(deployment)?;
    sleep_until(timeline.calm_end).await;
    let processor = processor::used(deployment)?.saturating_sub(processor_before);
    let mut tokens = deployment.journals().await?.tokens();
    for (version, tokens) in &mut tokens {
        *tokens -= before.get(version).copied().unwrap_or_default();
    }
    Ok(Used { tokens, processor })
}
