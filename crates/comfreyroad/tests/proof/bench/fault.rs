use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::event::Signal;
use comfreyroad::id::UpstreamId;

use super::answer::Defect;
use super::{Bench, ENTRIES};

/// Duration of a temporary fault.
const FAULT_DURATION: Duration = Duration::from_millis(5_500);
/// Delay of `Fault::KillLater`; shorter than `FAULT_DURATION`, so that the kill falls into faults injected with it.
const KILL_DELAY: Duration = Duration::from_millis(2_500);
/// Time for which a zone stays out.
const ZONE_OUT_DURATION: Duration = Duration::from_secs(7);

/// A step of processing at which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Admission,
    Waiting,
    Claiming,
    ClaimAppended,
    Sent,
    Running,
    FirstToken,
    MidStream,
    EndReceived,
    Billing,
    BillAppended,
    PublishAppended,
    InForce,
    PeerExchange,
    PeerReply,
    LoadAsked,
    Rating,
    Start,
    Drain,
}

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill,
    KillLater,
    Pause,
    CutFromLog,
    DeafToLog,
    CutFromPeers,
    OneWay,
    FramesLost,
    FramesDoubled,
    FramesLate,
    SlowLog,
    LostAcks,
    LateAppends,
    RateCap,
    LogOutage,
    ColdRestart,
    Stall,
    Leaving,
    ZoneOut,
    Race,
    Duplicate,
    CallerGone,
    Crossed,
    PartDoubled,
    PartMissing,
    PartLate,
    RatingOutage,
    VersionBad,
    HeldTwice,
}

/// Faults to be injected when a step is reached.
pub(crate) struct Injection {
    step: Step,
    skip: u32,
    faults: Vec<Fault>,
}

/// The entry, upstream and call at which a step was reached.
struct Site {
    node: usize,
    upstream: UpstreamId,
    call: Option<usize>,
}

impl Step {
    /// Returns the step that is reached when an event is delivered.
    pub(super) fn reached_by(event: &Event) -> Option<(Self, Option<usize>)> {
        match event {
            Event::Call(request) => Some((Self::Admission, Some(request.head().call as usize))),
            Event::Attempt {
                signal: Signal::End { .. },
                ..
            } => Some((Self::EndReceived, None)),
            Event::Started => Some((Self::Start, None)),
            Event::Shutdown => Some((Self::Drain, None)),
            _ => None,
        }
    }
}

impl Bench {
    /// Schedules faults for a step; the first `skip` times that the step is reached do not count.
    pub(crate) fn inject_at(&mut self, step: Step, skip: u32, faults: &[Fault]) {
        let faults = faults.to_vec();
        self.injection = Some(Injection { step, skip, faults });
    }

    pub(super) fn reached(
        &mut self,
        step: Step,
        node: usize,
        upstream: Option<&UpstreamId>,
        call: Option<usize>,
    ) {
        let Some(injection) = self
            .injection
            .as_mut()
            .filter(|injection| injection.step == step)
        else {
            return;
        };
        if injection.skip > 0 {
            injection.skip -= 1;
            return;
        }
        let faults = std::mem::take(&mut injection.faults);
        self.injection = None;
        self.injected_at = Some(self.now.instant);
        let last_used = self.journal.dispatches.iter().rev();
        let last_used = last_used
            .clone()
            .find(|dispatch| dispatch.instance.node == node);
        let upstream = upstream
            .or(last_used.map(|dispatch| &dispatch.upstream))
            .cloned();
        let site = Site {
            node,
            upstream: upstream.unwrap_or_else(|| "eng-1".into()),
            call: call.or_else(|| self.calls.len().checked_sub(1)),
        };
        for fault in faults {
            self.inject(fault, &site);
        }
    }

    fn inject(&mut self, fault: Fault, site: &Site) {
        let node = site.node;
        match fault {
            Fault::Kill => self.restart_after(node, FAULT_DURATION),
            Fault::KillLater => self.after(KILL_DELAY, move |bench| {
                bench.restart_after(node, FAULT_DURATION);
            }),
            Fault::Pause => {
                self.pause(node);
                return self.after(FAULT_DURATION, move |bench| bench.resume(node));
            }
            Fault::CutFromLog => _ = self.network.log_requests_lost.insert(node),
            Fault::DeafToLog => _ = self.network.log_replies_lost.insert(node),
            Fault::CutFromPeers => (0..ENTRIES).for_each(|peer| self.cut(node, peer)),
            Fault::OneWay => (0..ENTRIES).for_each(|peer| self.cut_one_way(node, peer)),
            Fault::FramesLost => self.network.loss = 70,
            Fault::FramesDoubled => self.network.duplicates_frames = true,
            Fault::FramesLate => self.network.delay = Duration::from_millis(800),
            Fault::SlowLog => self.log.extra_latency = Duration::from_millis(700),
            Fault::LostAcks => self.log.lost_acks = 3,
            Fault::LateAppends => self.log.late_appends = 3,
            Fault::RateCap => self.log.refused_appends = 5,
            Fault::LogOutage => self.log.outage = true,
            Fault::ColdRestart => self.restart(&site.upstream),
            Fault::Stall => self.stall(&site.upstream),
            Fault::Leaving => self.leave(&site.upstream),
            Fault::ZoneOut => return self.zone_out(&site.upstream),
            Fault::Race => return self.race(),
            Fault::Duplicate => site.call.into_iter().for_each(|call| self.duplicate(call)),
            Fault::CallerGone => site.call.into_iter().for_each(|call| self.hang_up(call)),
            Fault::Crossed => self.add_defects(&site.upstream, Defect::Crossed),
            Fault::PartDoubled => self.add_defects(&site.upstream, Defect::Doubled),
            Fault::PartMissing => self.add_defects(&site.upstream, Defect::Missing),
            Fault::RatingOutage => self.ratings.outage = true,
            Fault::VersionBad => _ = self.ratings.bad.insert("mona@2".into()),
            Fault::HeldTwice => return self.hold_twice(),
            Fault::PartLate => self.add_defects(&site.upstream, Defect::Late),
        }
        self.after(FAULT_DURATION, |bench| {
            bench.heal();
            bench.ratings.outage = false;
            (bench.log.extra_latency, bench.log.outage) = (Duration::ZERO, false);
        });
    }

    fn add_defects(&mut self, upstream: &UpstreamId, defect: Defect) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.defects = vec![defect; 2];
        }
    }

    fn stall(&mut self, upstream: &UpstreamId) {
        let until = self.now.instant + FAULT_DURATION;
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.stalled_until = Some(until);
        }
    }

    fn zone_out(&mut self, upstream: &UpstreamId) {
        let zone = self.upstreams.get(upstream).map(|it| it.zone.clone());
        let zone = super::ZONES
            .into_iter()
            .find(|name| zone.as_deref() == Some(*name));
        let Some(zone) = zone else { return };
        _ = self.edit("kaisu", |plan| _ = plan.zones_out.insert(zone));
        self.after(ZONE_OUT_DURATION, move |bench| {
            _ = bench.edit("kaisu", |plan| _ = plan.zones_out.shift_remove(zone));
        });
    }

    /// Publishes three changes that are all based on the same generation.
    fn race(&mut self) {
        let after = self.log.generation();
        _ = self.edit_after(after, "mona", |plan| _ = plan.zones_out.insert("b"));
        _ = self.edit_after(after, "kaisu", |plan| plan.is_withdrawn = true);
        _ = self.edit_after(after, "aaro", |plan| plan.zones_out.clear());
    }
}
