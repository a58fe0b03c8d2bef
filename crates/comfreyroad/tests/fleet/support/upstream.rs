use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use comfreyroad::id::AttemptTag;
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use indexmap::IndexMap;

use super::{Fleet, Size, zone};

/// Slots of a warm upstream.
const SLOTS: u32 = 64;
/// Slots of one that has just started.
const COLD: u32 = 4;

/// An upstream that says what it has got.
pub(crate) struct Model {
    pub(crate) id: Arc<str>,
    pub(crate) zone: Arc<str>,
    pub(crate) boot: u32,
    pub(crate) good: u32,
    pub(crate) begun: u64,
    pub(crate) listed: Option<VmState>,
    pub(crate) started: Now,
    /// What runs, and when it ends.
    pub(crate) running: IndexMap<AttemptTag, Instant>,
}

pub(super) fn models(size: &Size, now: Now) -> IndexMap<Arc<str>, Model> {
    let model = |index: usize| {
        let id: Arc<str> = format!("eng-{index}").into();
        let model = Model {
            id: id.clone(),
            zone: zone(index % size.zones),
            boot: 1,
            good: 0,
            begun: 0,
            listed: Some(VmState::Live),
            started: now,
            running: IndexMap::new(),
        };
        (id, model)
    };
    (0..size.upstreams).map(model).collect()
}

impl Model {
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

    /// Requests that it bears at once: one more for every round and its double of good answers.
    pub(crate) fn bears(&self) -> u32 {
        SLOTS.min(COLD + self.good / (2 * COLD))
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

    /// Starts anew without a word; what ran is gone.
    pub(crate) fn restart(&mut self, now: Now) {
        (self.boot, self.good, self.started) = (self.boot + 1, 0, now);
        self.running.clear();
    }
}

impl Fleet {
    /// What has run its time is over, whether or not its entry still wants it.
    pub(super) fn expire(&mut self) {
        let now = self.now.instant;
        for model in self.models.values_mut() {
            let before = model.running.len();
            model.running.retain(|_, until| *until > now);
            model.good += (before - model.running.len()) as u32;
        }
    }

    pub(super) fn begin(
        &mut self,
        id: &Arc<str>,
        tag: AttemptTag,
        time: Duration,
    ) -> Option<&Model> {
        let until = self.now.instant + time;
        let model = self.models.get_mut(id)?;
        model.running.insert(tag, until);
        model.begun += 1;
        let (given, bears) = (model.running.len() as u32, model.bears());
        if given > bears && bears < SLOTS {
            let known = &mut self.overloads;
            known.count += 1;
            let is_worse = |(worst, borne): (u32, u32)| given - bears > worst - borne;
            if known.worst.is_none_or(is_worse) {
                known.worst = Some((given, bears));
            }
        }
        self.models.get(id)
    }
}
