use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use comfreyroad::event::{Failure, Signal};
use comfreyroad::id::{Address, AttemptTag, BootId, PoolId, UpstreamId, VersionId, ZoneId};
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use indexmap::IndexMap;

use super::answer::{Answer, Defect, LATENCY};
use super::node::Instance;
use super::{Bench, ZONES};

/// Time after its start from which an upstream counts as warm.
const WARM_AFTER: Duration = Duration::from_secs(30);
/// Delay until the VM list shows that an upstream is leaving.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Number of engines in each zone.
const ENGINES: usize = 2;

/// A model engine or a plain service.
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    /// When the upstream started to leave.
    pub(crate) leaving_since: Option<Instant>,
    /// Until when the upstream accepts requests without answering them.
    pub(crate) stalled_until: Option<Instant>,
    /// Delivery defects of the next parts of its answers.
    pub(crate) defects: Vec<Defect>,
    pool: PoolId,
    pub(super) address: Address,
    boot: u32,
    started: Instant,
    slots: u32,
    cold_slots: u32,
    pub(super) answered: u32,
    versions: Vec<VersionId>,
    is_listed_leaving: bool,
    pub(super) answers: IndexMap<AttemptTag, Answer>,
}

/// Creates two engines and one service in each zone; all are warm except one engine.
pub(crate) fn fleet(now: Instant) -> IndexMap<UpstreamId, Upstream> {
    let mut fleet = IndexMap::new();
    for index in 0..ZONES.len() * ENGINES {
        let mut engine = Upstream::new(&format!("eng-{index}"), "drafting", index, now);
        engine.versions = ["mona@1", "mona@2", "lisa@1"].map(Into::into).into();
        if index == 0 {
            engine.started = now;
        }
        fleet.insert(engine.id.clone(), engine);
    }
    for index in 0..ZONES.len() {
        let service = Upstream::new(&format!("app-{index}"), "orders", index, now);
        fleet.insert(service.id.clone(), service);
    }
    fleet
}

impl Upstream {
    fn new(id: &str, pool: &str, index: usize, now: Instant) -> Self {
        Self {
            id: id.into(),
            zone: ZONES[index % ZONES.len()].into(),
            leaving_since: None,
            stalled_until: None,
            defects: Vec::new(),
            pool: pool.into(),
            address: format!("{id}:9000").into(),
            boot: 1,
            started: now - WARM_AFTER * 4,
            slots: 8,
            cold_slots: 2,
            answered: 0,
            versions: Vec::new(),
            is_listed_leaving: false,
            answers: IndexMap::new(),
        }
    }

    pub(super) fn boot_id(&self) -> BootId {
        format!("{}-{}", self.id, self.boot).into()
    }

    pub(super) fn is_starting(&self, now: Instant) -> bool {
        self.answered < self.slots * 2 && now < self.started + WARM_AFTER
    }

    /// Returns the number of concurrent requests that the upstream can run.
    pub(super) fn capacity(&self, now: Instant) -> u32 {
        if self.is_starting(now) {
            self.slots.min(self.cold_slots + self.answered / 2)
        } else {
            self.slots
        }
    }

    pub(super) fn running(&self) -> u32 {
        self.answers
            .values()
            .filter(|answer| !answer.is_busy)
            .count() as u32
    }

    pub(super) fn vm(&self) -> Vm {
        let state = if self.is_listed_leaving {
            VmState::Leaving
        } else {
            VmState::Live
        };
        Vm {
            id: self.id.clone(),
            kind: VmKind::Upstream,
            pool: self.pool.clone(),
            zone: self.zone.clone(),
            address: self.address.clone(),
            state,
        }
    }

    pub(super) fn report(&self, now: Now) -> Load {
        Load {
            at: now.system,
            boot: self.boot_id(),
            uptime: now.instant - self.started,
            running: self.running(),
            waiting: 0,
            slots: self.slots,
            kv_used: 0.0,
            versions: self.versions.clone(),
        }
    }

    /// Closes the connections of an entry that has ended.
    pub(super) fn hang_up(&mut self, instance: Instance) {
        self.answers.retain(|_, answer| answer.instance != instance);
    }
}

impl Bench {
    /// Restarts an upstream's process without notice; its open connections are reset.
    pub(crate) fn restart(&mut self, id: &UpstreamId) {
        let now = self.now.instant;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.boot += 1;
        (upstream.started, upstream.answered) = (now, 0);
        for answer in std::mem::take(&mut upstream.answers).into_values() {
            let failure = Failure {
                unwritten: None,
                is_busy: false,
                reason: "connection reset".into(),
            };
            self.signal(
                answer.instance,
                answer.attempt,
                id,
                LATENCY,
                Signal::Failed(failure),
            );
        }
    }

    /// Marks an upstream as leaving; the VM list shows it after `LIST_LAG`.
    pub(crate) fn leave(&mut self, id: &UpstreamId) {
        let now = self.now.instant;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.leaving_since = Some(now);
        let id = id.clone();
        self.after(LIST_LAG, move |bench| {
            if let Some(upstream) = bench.upstreams.get_mut(&id) {
                upstream.is_listed_leaving = true;
            }
        });
    }
}
