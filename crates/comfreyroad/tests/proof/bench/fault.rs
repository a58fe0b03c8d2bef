use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::event::Signal;
use comfreyroad::id::UpstreamId;

use super::answer::Mischief;
use super::{Bench, ENTRIES};

/// How long a fault lasts that does not stay.
const LASTS: Duration = Duration::from_millis(5_500);
/// Time until a later kill, within the other faults' time.
const LATER: Duration = Duration::from_millis(2_500);
/// How long a zone stays out.
const ZONE_LASTS: Duration = Duration::from_secs(7);

/// A moment at which a fault can strike.
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

/// What can go wrong.
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

/// Faults that wait for their step.
pub(crate) struct Armed {
    step: Step,
    skip: u32,
    faults: Vec<Fault>,
}

/// Where a step was reached.
struct Place {
    node: usize,
    upstream: UpstreamId,
    call: Option<usize>,
}

impl Step {
    /// The step that an event is about to reach.
    pub(super) fn before(event: &Event) -> Option<(Self, Option<usize>)> {
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
    /// Lets faults strike when a step is reached, after it was passed a few times.
    pub(crate) fn arm(&mut self, step: Step, skip: u32, faults: &[Fault]) {
        let faults = faults.to_vec();
        self.armed = Some(Armed { step, skip, faults });
    }

    pub(super) fn reached(
        &mut self,
        step: Step,
        node: usize,
        upstream: Option<&UpstreamId>,
        call: Option<usize>,
    ) {
        let Some(armed) = self.armed.as_mut().filter(|armed| armed.step == step) else {
            return;
        };
        if armed.skip > 0 {
            armed.skip -= 1;
            return;
        }
        let faults = std::mem::take(&mut armed.faults);
        self.armed = None;
        self.struck = Some(self.now.instant);
        let used = self.journal.sendings.iter().rev();
        let used = used.clone().find(|sending| sending.post.node == node);
        let upstream = upstream.or(used.map(|sending| &sending.upstream)).cloned();
        let place = Place {
            node,
            upstream: upstream.unwrap_or_else(|| "eng-1".into()),
            call: call.or_else(|| self.calls.len().checked_sub(1)),
        };
        for fault in faults {
            self.strike(fault, &place);
        }
    }

    fn strike(&mut self, fault: Fault, place: &Place) {
        let node = place.node;
        match fault {
            Fault::Kill => self.restart_after(node, LASTS),
            Fault::KillLater => self.after(LATER, move |bench| bench.restart_after(node, LASTS)),
            Fault::Pause => {
                self.pause(node);
                return self.after(LASTS, move |bench| bench.resume(node));
            }
            Fault::CutFromLog => _ = self.wire.log_cut.insert(node),
            Fault::DeafToLog => _ = self.wire.log_deaf.insert(node),
            Fault::CutFromPeers => (0..ENTRIES).for_each(|peer| self.cut(node, peer)),
            Fault::OneWay => (0..ENTRIES).for_each(|peer| self.cut_one_way(node, peer)),
            Fault::FramesLost => self.wire.loss = 70,
            Fault::FramesDoubled => self.wire.is_doubling = true,
            Fault::FramesLate => self.wire.delay = Duration::from_millis(800),
            Fault::SlowLog => self.log.slow = Duration::from_millis(700),
            Fault::LostAcks => self.log.lose_acks = 3,
            Fault::LateAppends => self.log.late = 3,
            Fault::RateCap => self.log.refuse = 5,
            Fault::LogOutage => self.log.outage = true,
            Fault::ColdRestart => self.restart(&place.upstream),
            Fault::Stall => self.stall(&place.upstream),
            Fault::Leaving => self.leave(&place.upstream),
            Fault::ZoneOut => return self.zone_out(&place.upstream),
            Fault::Race => return self.race(),
            Fault::Duplicate => place.call.into_iter().for_each(|call| self.duplicate(call)),
            Fault::CallerGone => place.call.into_iter().for_each(|call| self.hang_up(call)),
            Fault::Crossed => self.spoil(&place.upstream, Mischief::Crossed),
            Fault::PartDoubled => self.spoil(&place.upstream, Mischief::Doubled),
            Fault::PartMissing => self.spoil(&place.upstream, Mischief::Missing),
            Fault::RatingOutage => self.ratings.outage = true,
            Fault::VersionBad => _ = self.ratings.bad.insert("mona@2".into()),
            Fault::HeldTwice => return self.hold_twice(),
            Fault::PartLate => self.spoil(&place.upstream, Mischief::Late),
        }
        self.after(LASTS, |bench| {
            bench.mend();
            bench.ratings.outage = false;
            (bench.log.slow, bench.log.outage) = (Duration::ZERO, false);
        });
    }

    fn spoil(&mut self, upstream: &UpstreamId, mischief: Mischief) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.mischief = vec![mischief; 2];
        }
    }

    fn stall(&mut self, upstream: &UpstreamId) {
        let until = self.now.instant + LASTS;
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
        _ = self.edit("kaisu", |plan| _ = plan.out.insert(zone));
        self.after(ZONE_LASTS, move |bench| {
            _ = bench.edit("kaisu", |plan| _ = plan.out.shift_remove(zone));
        });
    }

    /// Three operators publish after the same generation.
    fn race(&mut self) {
        let after = self.log.generation();
        _ = self.edit_after(after, "mona", |plan| _ = plan.out.insert("b"));
        _ = self.edit_after(after, "kaisu", |plan| plan.is_withdrawn = true);
        _ = self.edit_after(after, "aaro", |plan| plan.out.clear());
    }
}
