//! Demonstration run of both firms without faults.

use std::time::{Duration, Instant};

use compio::time::sleep;

use crate::Result;
use crate::binaries::Binaries;
use crate::deployment::{Deployment, Group, Plan};
use crate::ledger::Bills;
use crate::load::Load;
use crate::report::Report;

/// The published rules.
const RULES: &str = include_str!("../../../examples/demo.rules");
/// The zones of these rules.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Timeout for the last bills to reach the log.
const BILLING_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two reads of the ledger.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A load of limited duration of both firms through three entries.
#[derive(Clone, Debug)]
pub struct Demo {
    /// How long requests arrive.
    pub duration: Duration,
    /// Arrivals per second.
    pub rate: f64,
    /// Seed of the load and the fake services.
    pub seed: u64,
}

impl Default for Demo {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            rate: 20.0,
            seed: 1,
        }
    }
}

impl Demo {
    /// Sets how long requests arrive.
    #[must_use]
    pub fn with_duration(self, duration: Duration) -> Self {
        Self { duration, ..self }
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Starts the deployment, sends the load and stops the deployment.
    pub async fn run(&self, binaries: &Binaries) -> Result<Report> {
        let deployment = self.plan().start(binaries).await?;
        let load = self.load(&deployment);
        let running = load.start(binaries, deployment.folder())?;
        let trace = running.finish().await?;
        let whole = trace.count(comfreyroad_fakes::load::Verdict::Whole);
        eprintln!("refusals received: {}", trace.refusal_counts());
        let bills = wait_for_bills(&deployment, whole).await?;
        let journals = deployment.journals().await?;
        deployment.stop().await?;
        Report::new(&trace, &journals, &bills)
    }

    fn plan(&self) -> Plan {
        let inkwell = "versions=quill@1+brush@3+brush@4+easel@2,slots=8,cold=2,warm_ms=1000,prefill_us=20,token_us=2000";
        let tahtiaskel = "versions=neula@2+lanka@5+lanka@6+kaava@1,slots=8,cold=2,warm_ms=1000,prefill_us=20,token_us=2000,\
                          fencing=ignored";
        let service = "slots=32,cold=8,warm_ms=500,latency_ms=3";
        Plan::new(RULES, &ZONES)
            .with_seed(self.seed)
            .with_entries(3)
            .with_group(Group::engines("drafting", "eng", 3).with_settings(inkwell))
            .with_group(Group::services("orders", "ord", 2).with_settings(service))
            .with_group(Group::engines("models", "mod", 3).with_settings(tahtiaskel))
            .with_group(Group::services("fitting", "fit", 2).with_settings(service))
    }

    fn load(&self, deployment: &Deployment) -> Load {
        let load = Load {
            to: deployment.entry_addresses(),
            duration: self.duration,
            rate: self.rate,
            seed: self.seed,
            ..Load::default()
        };
        load.with_customers("inkwell", &["stpeters", "harbour-press", "kingston-high"])
            .with_customers(
                "tahtiaskel",
                &["sovitus-helsinki", "sovitus-turku", "sovitus-pori"],
            )
    }
}

/// Returns the bills once there are as many as complete answers, or those present at the timeout.
pub async fn wait_for_bills(deployment: &Deployment, whole: u64) -> Result<Bills> {
    let deadline = Instant::now() + BILLING_TIMEOUT;
    loop {
        let bills = Bills::read(deployment.addresses().log()).await?;
        if bills.requests >= whole || Instant::now() >= deadline {
            return Ok(bills);
        }
        sleep(POLL_INTERVAL).await;
    }
}
