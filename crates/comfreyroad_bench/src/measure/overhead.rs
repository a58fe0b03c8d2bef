use std::time::Duration;

use comfreyroad_fakes::load::Kind;
use compio::time::sleep;

use super::processor;
use crate::Result;
use crate::binaries::Binaries;
use crate::deployment::Deployment;
use crate::firm::Firm;
use crate::load::Load;
use crate::trace::{Quantiles, Trace};

/// Time for idle upstreams to warm up before the load.
const WARM_UP: Duration = Duration::from_millis(2500);
/// Duration of each load.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Request rate, low enough that no request is queued.
const REQUESTS_PER_SECOND: f64 = 25.0;

/// Latency and processor time that the router adds, measured without other load.
#[derive(Clone, Debug, Default)]
pub struct Overhead {
    lookup: Comparison,
    first: Comparison,
    processor: f64,
}

/// Latencies of one kind of call, sent directly and through an entry.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    direct: Quantiles,
    routed: Quantiles,
}

impl Overhead {
    /// Measures calls to the fake upstreams directly and through the entries.
    pub async fn measure(firm: &Firm, seed: u64, binaries: &Binaries) -> Result<Self> {
        // Prompt processing takes no time, so that prefix caches cause no difference between direct and routed calls.
        let mut plan = firm.plan(seed);
        for group in &mut plan.groups {
            group.settings = group.settings.replace("prefill_us=100", "prefill_us=0");
        }
        let deployment = plan.start(binaries).await?;
        sleep(WARM_UP).await;
        let probe = Probe {
            firm,
            deployment: &deployment,
            binaries,
        };
        let direct = probe.send(seed, true, true).await?;
        let streams = probe.send(seed + 1, true, false).await?;
        // Discards a first load through the entries, which still treat the upstreams as cold.
        probe.send(seed + 2, false, false).await?;
        let before = processor::time_used(&deployment)?;
        let routed = probe.send(seed + 3, false, true).await?;
        let routed_streams = probe.send(seed + 4, false, false).await?;
        let used = processor::time_used(&deployment)?.saturating_sub(before);
        let requests = routed.lines.len() + routed_streams.lines.len();
        deployment.stop().await?;
        Ok(Self {
            lookup: Comparison {
                direct: direct.total_time(Kind::Lookup)?,
                routed: routed.total_time(Kind::Lookup)?,
            },
            first: Comparison {
                direct: streams.first_token()?,
                routed: routed_streams.first_token()?,
            },
            processor: used.as_secs_f64() * 1e6 / requests.max(1) as f64,
        })
    }

    /// The figures as Markdown.
    #[must_use]
    pub fn markdown(&self) -> String {
        let row = |name: &str, comparison: &Comparison| {
            let (direct, routed) = (comparison.direct, comparison.routed);
            let added = routed.p50 - direct.p50;
            format!(
                "| {name} | {:.2} / {:.2} | {:.2} / {:.2} | {added:.2} |\n",
                direct.p50, direct.p99, routed.p50, routed.p99
            )
        };
        format!(
            "What comfreyroad itself adds, without other load ({REQUESTS_PER_SECOND} requests a second, one run):\n\n\
             | call | direct p50 / p99 (ms) | through an entry p50 / p99 (ms) | added p50 (ms) |\n|---|---|---|---|\n\
             {}{}\nProcessor time of all entries: {:.0} us a request.\n",
            row("lookup", &self.lookup),
            row("first token", &self.first),
            self.processor
        )
    }
}

/// Sends calls of one kind to a deployment.
struct Probe<'a> {
    firm: &'a Firm,
    deployment: &'a Deployment,
    binaries: &'a Binaries,
}

impl Probe<'_> {
    async fn send(&self, seed: u64, is_direct: bool, is_lookup: bool) -> Result<Trace> {
        let load = self.firm.load(self.deployment, LOAD_TIME, seed);
        let to = if is_direct {
            self.upstreams(is_lookup)
        } else {
            load.to.clone()
        };
        let lookups = if is_lookup { "100" } else { "0" };
        let load = Load {
            to,
            rate: REQUESTS_PER_SECOND,
            ..load
        }
        .with_flag("--bookings", "0")
        .with_flag("--lookups", lookups)
        .with_flag("--drafts", "100")
        .with_flag("--draft-model", &self.firm.stable_version)
        .with_flag("--max-tokens", "8");
        load.start(self.binaries, self.deployment.folder())?
            .finish()
            .await
    }

    fn upstreams(&self, are_services: bool) -> Vec<std::net::SocketAddr> {
        let all = self.deployment.upstreams().iter();
        let wanted = all.filter(|(id, _)| self.firm.is_service(id) == are_services);
        wanted.map(|(_, (_, address))| *address).collect()
    }
}
