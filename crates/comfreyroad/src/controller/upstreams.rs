//! The upstreams: who lives, how loaded each is, and how much of it this entry may use.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Controller;
use crate::action::Action;
use crate::clock::Now;
use crate::event::{Event, Signal};
use crate::filter;
use crate::frame::View;
use crate::id::{BootId, PoolId, PrefixHash, UpstreamId, VersionId, ZoneId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::rules::{InForce, Pool};
use crate::settings::Settings;
use crate::upstream::{Any, Load, Slot, Upstream, Vm, VmKind, VmState};

/// Time between two questions for the VM list.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two questions for one upstream's load.
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// Time for which an upstream that failed is left alone.
const AVOID: Duration = Duration::from_millis(500);
/// Uptime after which an upstream that this entry sees for the first time counts as warm.
const KNOWN_WARM: Duration = Duration::from_secs(30);

/// What an upstream must offer to take a request.
#[derive(Clone, Debug)]
pub struct Need {
    /// The pool.
    pub pool: PoolId,
    /// The version that it must have loaded.
    pub version: Option<VersionId>,
    /// Prefix that would best be in its cache.
    pub prefix: Option<PrefixHash>,
}

/// Keeps the upstreams.
#[derive(Debug)]
pub struct Upstreams {
    zone: ZoneId,
    known: IndexMap<UpstreamId, Any>,
    rules: Option<Arc<InForce>>,
    members: Rc<View>,
    own: crate::id::EntryId,
    list_at: Option<Instant>,
    ask_at: Option<Instant>,
}

impl Upstreams {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            zone: settings.zone.clone(),
            known: IndexMap::new(),
            rules: None,
            members: Rc::default(),
            own: settings.entry.clone(),
            list_at: None,
            ask_at: None,
        }
    }

    /// All upstreams that are known.
    pub fn known(&self) -> impl Iterator<Item = &Any> {
        self.known.values()
    }

    /// A slot at the upstream that suits best, if any has room.
    pub fn pick(&self, need: &Need, view: &filter::View<'_>) -> Option<Slot> {
        let rules = view.state.rules.for_new_work(view.now).ok()?;
        let pool = rules.pools.get(&need.pool)?;
        let suits = |upstream: &&Any| {
            let info = upstream.info();
            !upstream.is_leaving()
                && info
                    .avoid_until
                    .is_none_or(|until| until <= view.now.instant)
                && info.pool == need.pool
                && rules.is_zone_in(&info.zone)
                && Self::has(info.load.as_ref(), need.version.as_ref())
                && info.in_flight.get() < self.limit(upstream, pool)
        };
        let best = self
            .known
            .values()
            .filter(suits)
            .min_by(|a, b| self.score(a).total_cmp(&self.score(b)))?;
        Some(Slot::take(best.info()))
    }

    fn has(load: Option<&Load>, version: Option<&VersionId>) -> bool {
        let Some(version) = version else { return true };
        load.is_some_and(|load| load.versions.contains(version))
    }

    /// How loaded an upstream is: 1.0 is full. Another zone counts as a little load.
    fn score(&self, upstream: &Any) -> f64 {
        let info = upstream.info();
        let reported = info
            .load
            .as_ref()
            .map_or(0, |load| load.running + load.waiting);
        let slots = info.load.as_ref().map_or(1, |load| load.slots.max(1));
        let used = f64::from(reported + info.sent_since_load) / f64::from(slots);
        let far = if info.zone == self.zone { 0.0 } else { 0.1 };
        used.max(f64::from(info.in_flight.get()) / f64::from(slots)) + far
    }

    /// Requests that this entry may have at an upstream at once.
    fn limit(&self, upstream: &Any, pool: &Pool) -> u32 {
        match upstream {
            Any::Cold(cold) => self.owned(&cold.info().id, pool.cold),
            Any::Warming(warming) => {
                let open = pool
                    .cold
                    .saturating_add(warming.stage().good / 2)
                    .min(pool.bears);
                self.owned(&warming.info().id, open)
            }
            Any::Warm(_) => pool.bears,
            Any::Leaving(_) => 0,
        }
    }

    /// How many of an upstream's slots belong to this entry. Each belongs to the live entry with the highest hash.
    fn owned(&self, upstream: &UpstreamId, slots: u32) -> u32 {
        let is_own = |slot: &u32| {
            let members = self.members.members.keys().map(|entry| &**entry);
            rendezvous::owner(&format!("{upstream}/{slot}"), members) == Some(&*self.own)
        };
        (0..slots).filter(is_own).count() as u32
    }

    fn on_vms(&mut self, vms: &[Vm], out: &mut Outbox) {
        let listed = vms.iter().filter(|vm| vm.kind == VmKind::Upstream);
        for vm in listed.clone() {
            if !self.known.contains_key(&vm.id) {
                out.note(
                    Note::new(&note::UPSTREAM_JOINED)
                        .with("upstream", &vm.id)
                        .with("zone", &vm.zone),
                );
                self.known
                    .insert(vm.id.clone(), Any::Cold(Upstream::new(vm)));
                self.ask_at = None;
            }
            if vm.state == VmState::Leaving {
                self.change(&vm.id, Any::leave, out);
            }
        }
        let gone: Vec<UpstreamId> = self
            .known
            .keys()
            .filter(|id| !listed.clone().any(|vm| vm.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.change(&id, Any::leave, out);
            if self
                .known
                .get(&id)
                .is_some_and(|upstream| upstream.info().in_flight.get() == 0)
            {
                self.known.swap_remove(&id);
            }
        }
    }

    fn on_load(&mut self, id: &UpstreamId, load: &Load, out: &mut Outbox) {
        let Some(upstream) = self.known.get(id) else {
            return;
        };
        let known_boot = upstream.info().boot.clone();
        if known_boot.as_ref().is_some_and(|boot| *boot != load.boot) {
            self.restart(id, Some(load.boot.clone()), out);
        }
        let Some(upstream) = self.known.get_mut(id) else {
            return;
        };
        let info = upstream.info_mut();
        let is_newer = info.load.as_ref().is_none_or(|known| known.at < load.at);
        if !is_newer {
            return;
        }
        info.boot = Some(load.boot.clone());
        info.load = Some(load.clone());
        info.sent_since_load = 0;
        if known_boot.is_none() && load.uptime >= KNOWN_WARM {
            self.change(id, Self::warm_at_once, out);
        }
        out.raise(Event::Room);
    }

    fn warm_at_once(upstream: Any) -> Any {
        match upstream {
            Any::Cold(cold) => Any::Warm(cold.trust()),
            other => other,
        }
    }

    fn on_signal(&mut self, now: Now, id: &UpstreamId, signal: &Signal, out: &mut Outbox) {
        match signal {
            Signal::Head {
                boot: Some(boot), ..
            } => {
                let known = self
                    .known
                    .get(id)
                    .and_then(|upstream| upstream.info().boot.clone());
                if known.is_some_and(|known| known != *boot) {
                    self.restart(id, Some(boot.clone()), out);
                }
            }
            Signal::End { .. } => self.on_good(now, id, out),
            Signal::Failed(failure) => {
                self.avoid(now, id);
                if !failure.busy {
                    self.restart(id, None, out);
                }
            }
            _ => {}
        }
    }

    fn avoid(&mut self, now: Now, id: &UpstreamId) {
        if let Some(upstream) = self.known.get_mut(id) {
            upstream.info_mut().avoid_until = Some(now.instant + AVOID);
        }
    }

    fn on_good(&mut self, now: Now, id: &UpstreamId, out: &mut Outbox) {
        let Some(bears) = self
            .known
            .get(id)
            .and_then(|upstream| self.bears(&upstream.info().pool))
        else {
            return;
        };
        let grow = |upstream| match upstream {
            Any::Cold(cold) => Any::Warming(cold.warm_up(now.instant)),
            Any::Warming(mut warming) => {
                warming.count_good();
                if warming.stage().good >= bears * 2 {
                    Any::Warm(warming.finish())
                } else {
                    Any::Warming(warming)
                }
            }
            other => other,
        };
        self.change(id, grow, out);
        out.raise(Event::Room);
    }

    fn bears(&self, pool: &PoolId) -> Option<u32> {
        self.rules
            .as_ref()?
            .rules
            .pools
            .get(pool)
            .map(|pool| pool.bears)
    }

    fn restart(&mut self, id: &UpstreamId, boot: Option<BootId>, out: &mut Outbox) {
        self.change(id, |upstream| upstream.restart(boot), out);
    }

    /// Moves an upstream to another stage and says so.
    fn change(&mut self, id: &UpstreamId, step: impl FnOnce(Any) -> Any, out: &mut Outbox) {
        let Some((index, _, upstream)) = self.known.swap_remove_full(id) else {
            return;
        };
        let before = upstream.stage();
        let upstream = step(upstream);
        let after = upstream.stage();
        self.known.insert(id.clone(), upstream);
        let last = self.known.len() - 1;
        self.known.swap_indices(index, last);
        let kind = match after {
            "cold" => &note::UPSTREAM_COLD,
            "warm" => &note::UPSTREAM_WARM,
            "leaving" => &note::UPSTREAM_LEAVING,
            _ => return,
        };
        if before != after {
            out.note(Note::new(kind).with("upstream", id));
        }
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        if self.list_at.is_none_or(|at| at <= now.instant) {
            self.list_at = Some(now.instant + LIST_PERIOD);
            out.act(Action::ListVms);
        }
        if self.ask_at.is_none_or(|at| at <= now.instant) {
            self.ask_at = Some(now.instant + LOAD_PERIOD);
            for upstream in self.known.values() {
                let info = upstream.info();
                out.act(Action::AskLoad {
                    upstream: info.id.clone(),
                    address: info.address.clone(),
                });
            }
        }
    }

    fn count_sent(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.known.get_mut(id) {
            upstream.info_mut().sent_since_load += 1;
        }
    }
}

impl Controller for Upstreams {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Vms { vms, .. } => self.on_vms(vms, out),
            Event::Load {
                upstream,
                load: Some(load),
            } => self.on_load(upstream, load, out),
            Event::Attempt {
                upstream, signal, ..
            } => self.on_signal(now, upstream, signal, out),
            Event::Sent(upstream) => self.count_sent(upstream),
            Event::InForce(rules) => self.rules = Some(Arc::clone(rules)),
            Event::Members(view) => self.members = Rc::clone(view),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }
}
