use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use comfreyroad::event::{Failure, Signal};
use comfreyroad::id::{Address, AttemptTag, BootId, PoolId, UpstreamId, VersionId, ZoneId};
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use indexmap::IndexMap;

use super::answer::{Answer, Mischief, WAY};
use super::node::Post;
use super::{Bench, ZONES};

/// Time after which a start counts as long past.
const WARM_AFTER: Duration = Duration::from_secs(30);
/// Time until the VM list shows that an upstream leaves.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Engines in each zone.
const ENGINES: usize = 2;

/// A model engine or a plain service.
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    /// When it began to leave.
    pub(crate) left: Option<Instant>,
    /// Until when it takes work and answers nothing.
    pub(crate) stalled_until: Option<Instant>,
    /// What goes wrong with the next parts of its answers.
    pub(crate) mischief: Vec<Mischief>,
    pool: PoolId,
    pub(super) address: Address,
    boot: u32,
    started: Instant,
    slots: u32,
    cold: u32,
    pub(super) good: u32,
    versions: Vec<VersionId>,
    is_listed_leaving: bool,
    pub(super) answers: IndexMap<AttemptTag, Answer>,
}

/// Two engines and a service in each zone, all long started but one engine.
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
            left: None,
            stalled_until: None,
            mischief: Vec::new(),
            pool: pool.into(),
            address: format!("{id}:9000").into(),
            boot: 1,
            started: now - WARM_AFTER * 4,
            slots: 8,
            cold: 2,
            good: 0,
            versions: Vec::new(),
            is_listed_leaving: false,
            answers: IndexMap::new(),
        }
    }

    pub(super) fn boot_id(&self) -> BootId {
        format!("{}-{}", self.id, self.boot).into()
    }

    pub(super) fn is_starting(&self, now: Instant) -> bool {
        self.good < self.slots * 2 && now < self.started + WARM_AFTER
    }

    /// Requests that it bears at once.
    pub(super) fn bears(&self, now: Instant) -> u32 {
        if self.is_starting(now) {
            self.slots.min(self.cold + self.good / 2)
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

    /// The connections of an entry that has died are gone.
    pub(super) fn hang_up(&mut self, post: Post) {
        self.answers.retain(|_, answer| answer.post != post);
    }
}

impl Bench {
    /// Starts an upstream's program anew, without a word to anyone.
    pub(crate) fn restart(&mut self, id: &UpstreamId) {
        let now = self.now.instant;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.boot += 1;
        (upstream.started, upstream.good) = (now, 0);
        for answer in std::mem::take(&mut upstream.answers).into_values() {
            let failure = Failure {
                unwritten: None,
                is_busy: false,
                reason: "connection reset".into(),
            };
            self.signal(
                answer.post,
                answer.attempt,
                id,
                WAY,
                Signal::Failed(failure),
            );
        }
    }

    /// An upstream is to leave; the VM list says so a little later.
    pub(crate) fn leave(&mut self, id: &UpstreamId) {
        let now = self.now.instant;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.left = Some(now);
        let id = id.clone();
        self.after(LIST_LAG, move |bench| {
            if let Some(upstream) = bench.upstreams.get_mut(&id) {
                upstream.is_listed_leaving = true;
            }
        });
    }
}
