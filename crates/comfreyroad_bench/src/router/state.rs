use std::net::SocketAddr;

use comfreyroad::rules::{Customer, History, Rules, Version};
use comfreyroad_wire::engine::Load;
use comfreyroad_wire::platform::{Kind, State as Presence, Vm};
use indexmap::IndexMap;

use super::Policy;
use crate::{VersionId, VmId};

/// What a request is addressed to.
#[derive(Clone, Copy, Debug)]
pub enum Call<'a> {
    /// A chat completion by route, model or version.
    Chat(&'a str),
    /// A call of a plain service, by path.
    Service(&'a str),
}

/// The selected upstream and version of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The model version if the upstream is an engine.
    pub version: Option<VersionId>,
}

/// Rules, VMs and load reports that the router has read.
#[derive(Debug, Default)]
pub struct State {
    /// The rules, as read from the log.
    pub history: History,
    /// The VM list.
    pub vms: Vec<Vm>,
    /// The last load report of each upstream.
    pub loads: IndexMap<VmId, Load>,
    /// Number of requests sent to each upstream since its last report.
    sent_since_report: IndexMap<VmId, u32>,
    counter: usize,
    rng: fastrand::Rng,
}

impl State {
    /// Creates the state of a router that has read nothing yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            ..Self::default()
        }
    }

    /// Records a load report of an upstream.
    pub fn record_load(&mut self, id: VmId, load: Load) {
        self.sent_since_report.swap_remove(&id);
        self.loads.insert(id, load);
    }

    /// Whether the router can route: rules are in force and an upstream has reported its load.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.history.in_force().is_some() && !self.loads.is_empty()
    }

    /// Selects a version and an upstream; returns `None` when none is allowed and available.
    pub fn select(&mut self, policy: Policy, key: &[u8; 32], call: Call<'_>) -> Option<Target> {
        self.counter = self.counter.wrapping_add(1);
        let rules = self.history.in_force()?.rules.clone();
        let customer = rules.customer_by_key(key)?;
        let (pool, version) = match call {
            Call::Chat(model) => {
                let version = self.version(policy, &rules, customer, model)?;
                (version.pool.clone(), Some(version.id.to_string()))
            }
            Call::Service(path) => {
                let mut services = rules.services.iter();
                let service = services.find(|service| service.covers(path))?;
                (service.pool.clone(), None)
            }
        };
        let id = self.upstream(policy, &rules, &pool, version.as_deref())?;
        *self.sent_since_report.entry(id.clone()).or_default() += 1;
        let vm = self.vms.iter().find(|vm| vm.id == id)?;
        let address = vm.address.parse().ok()?;
        Some(Target { address, version })
    }

    /// Selects the model by policy, and one of its versions at random, weighted by their shares.
    fn version<'a>(
        &mut self,
        policy: Policy,
        rules: &'a Rules,
        customer: &Customer,
        requested: &str,
    ) -> Option<&'a Version> {
        let is_eligible = |version: &&Version| {
            let is_requested = match rules.routes.get(requested) {
                Some(route) => route.models.contains(&version.model),
                None => *version.model == *requested || *version.id == *requested,
            };
            is_requested && !version.withdrawn && customer.allows(version)
        };
        let versions: Vec<&Version> = rules.versions.values().filter(is_eligible).collect();
        let mut models: Vec<&str> = versions.iter().map(|version| &*version.model).collect();
        models.dedup();
        let model = match policy {
            Policy::RoundRobin | Policy::LeastLoaded => {
                *models.get(self.counter % models.len().max(1))?
            }
            Policy::Dearest => &versions.iter().max_by_key(|version| version.cost)?.model,
            Policy::Cheapest => &versions.iter().min_by_key(|version| version.cost)?.model,
        };
        let of_model = versions.iter().filter(|version| *version.model == *model);
        let of_model: Vec<&Version> = of_model.copied().collect();
        let mut draw = self.rng.u32(
            0..of_model
                .iter()
                .map(|version| version.share)
                .sum::<u32>()
                .max(1),
        );
        for version in &of_model {
            if draw < version.share {
                return Some(version);
            }
            draw -= version.share;
        }
        of_model.first().copied()
    }

    fn upstream(
        &self,
        policy: Policy,
        rules: &Rules,
        pool: &str,
        version: Option<&str>,
    ) -> Option<VmId> {
        let is_eligible = |vm: &&Vm| {
            let load = self.loads.get(&vm.id);
            let serves = |version: &str| {
                load.is_some_and(|load| load.versions.iter().any(|served| served == version))
            };
            let is_up = vm.kind == Kind::Upstream && vm.pool == pool && vm.state == Presence::Live;
            is_up && rules.is_zone_in(&vm.zone.as_str().into()) && version.is_none_or(serves)
        };
        let eligible: Vec<&Vm> = self.vms.iter().filter(is_eligible).collect();
        let count = eligible.len();
        // Upstreams of equal load are used in rotation.
        let mut rotated = (0..count).map(|step| eligible[(self.counter + step) % count]);
        let chosen = match policy {
            Policy::RoundRobin => rotated.next(),
            _ => rotated.min_by(|one, other| {
                self.relative_load(&one.id)
                    .total_cmp(&self.relative_load(&other.id))
            }),
        };
        chosen.map(|vm| vm.id.clone())
    }

    fn relative_load(&self, id: &str) -> f64 {
        let sent = self.sent_since_report.get(id).copied().unwrap_or_default();
        let Some(load) = self.loads.get(id) else {
            return f64::from(sent);
        };
        f64::from(load.running + load.waiting + sent) / f64::from(load.slots.max(1))
    }
}
