use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use comfreyroad::id::AttemptTag;
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use indexmap::IndexMap;

use super::{Fleet, Size, zone};

/// Slots of a warm upstream.
const SLOTS: u32 = 64;
/// Slots of an upstream that has just started.
const COLD_SLOTS: u32 = 4;

/// A simulated upstream that counts the requests it receives.
pub(crate) struct Upstream {
    pub(crate) id: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) boot: u32,
    pub(crate) good_answers: u32,
    pub(crate) received: u64,
    pub(crate) listed: Option<VmState>,
    pub(crate) started: Now,
    /// Running requests and the times at which they end.
    pub(crate) running: IndexMap<AttemptTag, Instant>,
}

pub(super) fn all(size: &Size, now: Now) -> IndexMap<Arc<str>, Upstream> {
    let upstream = |index: usize| {
        let id: Arc<str> = format!("eng-{index}").into();
        let upstream = Upstream {
            id: id.clone(),
            zone: zone(index % size.zones),
            boot: 1,
            good_answers: 0,
            received: 0,
            listed: Some(VmState::Live),
            started: now,
            running: IndexMap::new(),
        };
        (id, upstream)
    };
    (0..size.upstreams).map(upstream).collect()
}

impl Upstream {
    pub(crate) fn vm(&self) -> Option<Vm> {
        Some(Vm {
            id: self.id.clone(),
            kind: VmKind::Upstream,
            pool: "drafting".into(),
            zone: self.zone.clone(),
            address: format!("{}:90", self.id).into(),
            state: self.listed?,
        })
    }

    pub(crate) fn boot_id(&self) -> Arc<str> {
        format!("{}-{}", self.id, self.boot).into()
    }

    /// The number of requests that it can run at once: `COLD_SLOTS` at the start, and one more for every
    /// `2 * COLD_SLOTS` good responses.
    pub(crate) fn capacity(&self) -> u32 {
        SLOTS.min(COLD_SLOTS + self.good_answers / (2 * COLD_SLOTS))
    }

    pub(crate) fn load(&self, now: Now) -> Load {
        Load {
            at: now.system,
            boot: self.boot_id(),
            uptime: now.instant - self.started.instant,
            running: self.running.len() as u32,
            waiting: 0,
            slots: SLOTS,
            kv_used: 0.0,
            versions: vec!["mona@1".into()],
        }
    }

    /// Restarts without notice and drops all running requests.
    pub(crate) fn restart(&mut self, now: Now) {
        (self.boot, self.good_answers, self.started) = (self.boot + 1, 0, now);
        self.running.clear();
    }
}

impl Fleet {
    /// Ends requests whose service time has passed, even if their entry no longer waits for them.
    pub(super) fn expire(&mut self) {
        let now = self.now.instant;
        for upstream in self.upstreams.values_mut() {
            let before = upstream.running.len();
            upstream.running.retain(|_, until| *until > now);
            upstream.good_answers += (before - upstream.running.len()) as u32;
        }
    }

    pub(super) fn begin(
        &mut self,
        id: &Arc<str>,
        tag: AttemptTag,
        time: Duration,
    ) -> Option<&Upstream> {
        let until = self.now.instant + time;
        let upstream = self.upstreams.get_mut(id)?;
        upstream.running.insert(tag, until);
        upstream.received += 1;
        let (running, capacity) = (upstream.running.len() as u32, upstream.capacity());
        if running > capacity && capacity < SLOTS {
            let known = &mut self.overloads;
            known.count += 1;
            let is_worse =
                |(worst, worst_capacity): (u32, u32)| running - capacity > worst - worst_capacity;
            if known.worst.is_none_or(is_worse) {
                known.worst = Some((running, capacity));
            }
        }
        self.upstreams.get(id)
    }
}
