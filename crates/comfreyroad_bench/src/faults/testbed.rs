use std::time::{Duration, Instant};

use compio::time::sleep_until;
use serde_json::{Value, json};

use super::Evidence;
use crate::Result;
use crate::binaries::Binaries;
use crate::demo;
use crate::deployment::{Deployment, Group, Plan};
use crate::ledger::Bills;
use crate::load::Load;
use crate::trace::Trace;

/// The rules in force at the start.
pub(super) const RULES: &str = include_str!("../../../../examples/demo.rules");
/// The zones of these rules.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Silence after which an entry considers a peer lost.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Settings of the engines.
const ENGINE_SETTINGS: &str = "versions=quill@1+brush@3+brush@4+easel@2,slots=8,cold=2,warm_ms=1000,prefill_us=20,token_us=8000";
/// Settings of the plain services.
const SERVICE_SETTINGS: &str = "slots=32,cold=8,warm_ms=500,latency_ms=3";

/// A small deployment of one firm, on which a cell runs its load and its fault.
pub struct Testbed {
    /// The running deployment.
    pub deployment: Deployment,
    /// Seed of the load and the fake services.
    pub seed: u64,
    begin: Instant,
}

impl Testbed {
    /// Starts three entries, six engines and three plain services in three zones.
    pub async fn start(seed: u64, binaries: &Binaries) -> Result<Self> {
        Self::start_with(seed, RULES, binaries).await
    }

    /// Starts the same processes with other rules.
    pub async fn start_with(seed: u64, rules: &str, binaries: &Binaries) -> Result<Self> {
        let plan = Plan::new(rules, &ZONES)
            .with_seed(seed)
            .with_entries(3)
            .with_entry_flag("--drain-notice-ms", "300")
            .with_peer_timeout(PEER_TIMEOUT)
            .with_group(Group::engines("drafting", "eng", 6).with_settings(ENGINE_SETTINGS))
            .with_group(Group::services("orders", "ord", 3).with_settings(SERVICE_SETTINGS));
        Ok(Self {
            deployment: plan.start(binaries).await?,
            seed,
            begin: Instant::now(),
        })
    }

    /// The default load: callers retry where that is allowed, and also when an answer breaks off.
    #[must_use]
    pub fn load(&self, seconds: u64) -> Load {
        let load = Load {
            to: self.deployment.entry_addresses(),
            duration: Duration::from_secs(seconds),
            rate: 15.0,
            seed: self.seed,
            ..Load::default()
        };
        let mut load = load
            .with_customers("inkwell", &["stpeters", "harbour-press", "kingston-high"])
            .with_flag("--profile", "inkwell")
            .with_flag("--health-ms", "100")
            .with_flag("--deadline-ms", "12000");
        load.flags.push("--retry-broken".to_owned());
        load
    }

    /// Runs a load and, concurrently, the function that injects the fault.
    pub async fn run_load(
        &mut self,
        load: Load,
        fault: impl AsyncFnOnce(&mut Self) -> Result<()>,
    ) -> Result<Trace> {
        let running = load.start(self.deployment.binaries(), self.deployment.folder())?;
        self.begin = Instant::now();
        let trace = running.finish();
        let (trace, ()) = futures_util::future::try_join(trace, fault(self)).await?;
        Ok(trace)
    }

    /// Waits until the given number of seconds after the start of the load.
    pub async fn wait_until(&self, seconds: f64) {
        sleep_until(self.begin + Duration::from_secs_f64(seconds)).await;
    }

    /// Injects faults into the log service.
    pub async fn inject_log_faults(&self, faults: Value) -> Result<()> {
        self.deployment
            .inject_faults(self.deployment.addresses().log(), &faults)
            .await
    }

    /// Injects faults into one upstream.
    pub async fn inject_upstream_faults(&self, id: &str, faults: Value) -> Result<()> {
        match self.deployment.upstreams().get(id) {
            Some((_, address)) => self.deployment.inject_faults(*address, &faults).await,
            None => Ok(()),
        }
    }

    /// Injects faults into all upstreams.
    pub async fn inject_faults_everywhere(&self, faults: Value) -> Result<()> {
        for (_, address) in self.deployment.upstreams().values() {
            self.deployment.inject_faults(*address, &faults).await?;
        }
        Ok(())
    }

    /// Makes a version give bad answers, or good ones again.
    pub async fn set_version_bad(&self, version: &str, is_bad: bool) -> Result<()> {
        let key = if is_bad {
            "bad_version"
        } else {
            "good_version"
        };
        self.inject_faults_everywhere(json!({ key: version })).await
    }

    /// Collects trace, journals and bills once the last bills are on the log, or after a timeout.
    pub async fn collect_evidence(&self, trace: Trace) -> Result<Evidence> {
        let whole = trace.count(comfreyroad_fakes::load::Verdict::Whole);
        let bills: Bills = demo::wait_for_bills(&self.deployment, whole).await?;
        let journals = self.deployment.journals().await?;
        Ok(Evidence {
            trace,
            journals,
            bills,
        })
    }
}
