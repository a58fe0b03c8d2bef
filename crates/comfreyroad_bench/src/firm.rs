//! Deployments and loads of the two firms at their present sizes, for measurements.

use std::time::Duration;

use crate::deployment::{Deployment, Group, Plan};
use crate::load::Load;
use crate::{VersionId, ZoneId};

/// A firm's deployment and load.
#[derive(Clone, Debug)]
pub struct Firm {
    /// Name of the firm and of its load profile.
    pub name: &'static str,
    /// The version under rollout, which a run makes give bad answers.
    pub rollout_version: VersionId,
    /// A version that every customer may use and that no run changes.
    pub stable_version: VersionId,
    /// The zone that a run takes out of service and brings back.
    pub zone: ZoneId,
    /// The rules published at the start.
    pub rules: String,
    zones: Vec<&'static str>,
    engines: Group,
    services: Group,
    delay: Duration,
    rate: f64,
    customers: Vec<&'static str>,
    deadlines: [(&'static str, &'static str); 3],
}

/// Settings common to all engines. A token takes a quarter of the time that it takes in production.
const ENGINE_SETTINGS: &str =
    "slots=8,cold=1,warm_ms=2000,prefill_us=100,token_us=15000,report_lag_ms=200,event_lag_ms=500";
/// Number of entries of each firm.
const ENTRY_COUNT: u8 = 6;
/// One-way network delay of callers.
const CALLER_DELAY_MS: &str = "3";

impl Firm {
    /// Inkwell, the commission studio.
    #[must_use]
    pub fn inkwell() -> Self {
        let versions = "versions=quill@1+brush@3+brush@4+easel@2,fencing=checked";
        let quality =
            "quality.quill@1=0.80,quality.brush@3=0.93,quality.brush@4=0.94,quality.easel@2=0.99";
        let rules = include_str!("../../../examples/inkwell.rules");
        Self {
            name: "inkwell",
            rollout_version: "brush@4".to_owned(),
            stable_version: "brush@3".to_owned(),
            zone: "mbj-b".to_owned(),
            rules: rules
                .replace("share=95 ", "share=70 ")
                .replace("share=5 ", "share=30 "),
            zones: vec!["mbj-a", "mbj-b", "mbj-c", "mbj-d"],
            engines: Group::engines("drafting", "eng", 12)
                .with_settings(format!("{ENGINE_SETTINGS},{versions},{quality}")),
            services: Group::services("orders", "ord", 4)
                .with_settings("slots=64,cold=8,warm_ms=1000,latency_ms=5"),
            delay: Duration::from_millis(1),
            rate: 40.0,
            customers: vec![
                "stpeters",
                "stpeters",
                "stpeters",
                "harbour-press",
                "harbour-press",
                "harbour-press",
                "mobay-schools",
                "mobay-schools",
                "blue-mountain",
                "cedar-valley",
                "doctors-cave",
                "ironshore",
                "kingston-high",
                "reading-tree",
                "flying-fish",
            ],
            deadlines: [
                ("--draft-deadline-ms", "8000"),
                ("--whole-deadline-ms", "3000"),
                ("--plain-deadline-ms", "1000"),
            ],
        }
    }

    /// Tahtiaskel, the fitting franchise.
    #[must_use]
    pub fn tahtiaskel() -> Self {
        let versions = "versions=neula@2+lanka@5+lanka@6+kaava@1,fencing=ignored";
        let quality =
            "quality.neula@2=0.82,quality.lanka@5=0.94,quality.lanka@6=0.945,quality.kaava@1=0.99";
        let rules = include_str!("../../../examples/tahtiaskel.rules");
        Self {
            name: "tahtiaskel",
            rollout_version: "lanka@6".to_owned(),
            stable_version: "lanka@5".to_owned(),
            zone: "hel-b".to_owned(),
            rules: rules
                .replace("share=90 ", "share=70 ")
                .replace("share=10 ", "share=30 "),
            zones: vec!["hel-a", "hel-b", "hel-c"],
            engines: Group::engines("models", "mod", 9)
                .with_settings(format!("{ENGINE_SETTINGS},{versions},{quality}")),
            services: Group::services("fitting", "fit", 3)
                .with_settings("slots=48,cold=6,warm_ms=1000,latency_ms=5"),
            delay: Duration::from_micros(500),
            rate: 50.0,
            customers: vec![
                "sovitus-helsinki",
                "sovitus-helsinki",
                "sovitus-helsinki",
                "sovitus-tampere",
                "sovitus-tampere",
                "sovitus-tampere",
                "sovitus-turku",
                "sovitus-turku",
                "sovitus-joensuu",
                "sovitus-kuopio",
                "sovitus-lahti",
                "sovitus-oulu",
                "sovitus-pori",
                "sovitus-vaasa",
                "sovitus-rovaniemi",
            ],
            deadlines: [
                ("--draft-deadline-ms", "4000"),
                ("--whole-deadline-ms", "2000"),
                ("--plain-deadline-ms", "1000"),
            ],
        }
    }

    /// The deployment plan of the firm.
    #[must_use]
    pub fn plan(&self, seed: u64) -> Plan {
        Plan::new(&self.rules, &self.zones)
            .with_seed(seed)
            .with_entries(ENTRY_COUNT)
            .with_delay(self.delay)
            .with_group(self.engines.clone())
            .with_group(self.services.clone())
            .with_entry_flag("--drain-notice-ms", "100")
    }

    /// The load that the firm's callers send.
    #[must_use]
    pub fn load(&self, deployment: &Deployment, duration: Duration, seed: u64) -> Load {
        let load = Load {
            to: deployment.entry_addresses(),
            duration,
            rate: self.rate,
            seed,
            ..Load::default()
        };
        let load = load
            .with_customers(self.name, &self.customers)
            .with_flag("--profile", self.name)
            .with_flag("--delay-ms", CALLER_DELAY_MS);
        let mut deadlines = self.deadlines.iter();
        deadlines
            .by_ref()
            .fold(load, |load, (name, value)| load.with_flag(name, value))
    }

    /// Whether a VM is a plain service.
    #[must_use]
    pub fn is_service(&self, id: &str) -> bool {
        id.starts_with(self.services.name)
    }

    /// The rules that replace generation `after`, with [`Self::zone`] in or out of service.
    #[must_use]
    pub fn rules_after(&self, after: u32, is_out: bool) -> String {
        let rules = self.rules.replacen("after 0", &format!("after {after}"), 1);
        if !is_out {
            return rules;
        }
        let zone = format!("zone {} ", self.zone);
        let line = |line: &str| {
            if line.starts_with(&zone) {
                line.replacen("state=in", "state=out", 1)
            } else {
                line.to_owned()
            }
        };
        let lines: Vec<_> = rules.lines().map(line).collect();
        lines.join("\n") + "\n"
    }
}
