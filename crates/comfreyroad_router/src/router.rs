//! The router: all controllers, and the entry points for requests and events.

mod attempts;
mod completions;
mod deadlines;

use std::rc::Rc;

use comfreyroad::clock::Now;

use crate::answer::{self, Fault, Milestone, Pace, Verdict};
use crate::controller::Controllers;
use crate::controller::rollouts::Attempt;
use crate::controller::upstreams::Prefill;
use crate::filter::place::{self, Backpressure};
use crate::filter::{Context, chain, escalate};
use crate::frame::Frame;
use crate::id::{EventId, RequestId, UpstreamId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::refusal::{Code, Ran};
use crate::request::{Placed, Planned, Received, Rejection, Request, Retrying, Sent, Unplaced};
use crate::{Action, Event, Refusal, Settings};

/// Number of gaps between events from which the pace of a stream is representative.
const MIN_SAMPLE_GAPS: u32 = 8;

/// Makes all routing decisions of one entry.
#[derive(Debug)]
pub struct Router {
    state: Controllers,
    out: Outbox,
}

impl Router {
    /// Creates a router without any state. The first event must be [`Event::Started`].
    pub fn new(settings: &Settings) -> Self {
        Self {
            state: Controllers::new(settings),
            out: Outbox::default(),
        }
    }

    /// Read access to the state.
    pub fn state(&self) -> &Controllers {
        &self.state
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.out.raise(event);
        while let Some(event) = self.out.next_raised() {
            self.state.handle(now, &event, &mut self.out);
            if let Event::RolloutOrdered(pool) = &event {
                // Active sessions stay on their version during the canary phase.
                let sessions = self.state.sessions.in_pool(pool);
                self.state
                    .rollouts
                    .pin_sessions(now.instant, pool, sessions);
            }
            if let Event::GossipDue { to } = event {
                let frame = Box::new(self.state.build_frame(now, &to));
                self.out.act(Action::Gossip { to, frame });
            }
        }
        std::mem::take(&mut self.out).into_actions()
    }

    /// Handles a peer's frame and returns the frame to answer with.
    pub fn exchange(&mut self, now: Now, frame: Frame) -> (Frame, Vec<Action>) {
        let to = frame.sender.address.clone();
        let actions = self.handle(now, Event::FrameReceived(Rc::new(frame)));
        (self.state.build_frame(now, &to), actions)
    }

    /// Takes the actions that request handling has produced: log events.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out).into_actions()
    }

    /// Applies the filter chain to a new request.
    pub fn admit(
        &mut self,
        now: Now,
        request: Request<Received>,
    ) -> Result<Request<Planned>, Refusal> {
        let state = &self.state;
        chain::run(request, Context { now, state })
    }

    /// Finds an upstream slot for a request.
    pub fn place<S: Unplaced>(
        &mut self,
        now: Now,
        request: Request<S>,
    ) -> Result<Request<Placed>, Backpressure<S>> {
        place::place(request, now.instant, &mut self.state)
    }

    /// Marks a placed request as sent and counts it.
    pub fn send(&mut self, now: Now, request: Request<Placed>) -> Request<Sent> {
        let is_first = !request.stage().origin.plan().is_retry();
        let plan = request.stage().origin.plan();
        let hold = self.state.shares.hold(now.instant, plan);
        let request = request.send(now.instant, hold);
        let plan = request.stage().plan();
        if is_first {
            self.state
                .retry_budgets
                .record_first_attempt(now.instant, &plan.pool);
        } else {
            self.state
                .retry_budgets
                .record_extra_attempt(now.instant, &plan.pool);
        }
        self.state.rollouts.count_request(Attempt::of(&request));
        self.touch_session(now, &request);
        request
    }

    fn touch_session(&mut self, now: Now, request: &Request<Sent>) {
        let (plan, slot) = (request.stage().plan(), &request.stage().slot);
        if let Some(session) = request.head().session_key() {
            let sessions = &mut self.state.sessions;
            sessions.touch(now.instant, &plan.pool, session, &slot.version);
            let rollouts = &mut self.state.rollouts;
            rollouts.touch_session(now.instant, &plan.pool, session, &slot.version);
        }
    }

    /// Judges the head of an answer.
    pub fn judge_answer(
        &mut self,
        now: Now,
        request: &Request<Sent>,
        head: &answer::Head,
    ) -> Verdict {
        let verdict = answer::judge(request, head);
        if verdict != Verdict::Unusable(Fault::WrongRequest) {
            self.state.upstreams.on_head(&request.stage().slot, head);
        }
        let is_own = head.request_id.as_ref() == Some(&request.head().id);
        if is_own && verdict != Verdict::Rejected(Rejection::Misdirected) {
            let stage = request.stage();
            let sent = (&stage.slot, stage.sent_at);
            let upstreams = &mut self.state.upstreams;
            upstreams.on_statements(now.instant, sent, head, &mut self.out);
        }
        let state = &self.state;
        if verdict == Verdict::Forward
            && escalate::is_worthwhile(request, head, Context { now, state })
        {
            let note = Note::new(&note::ESCALATED).with("request", &request.head().id);
            self.out
                .note(note.with("confidence", head.confidence.unwrap_or(0)));
            return Verdict::LowConfidence;
        }
        verdict
    }

    /// Escalates a request to a larger model, after an answer with low confidence.
    pub fn escalate(&mut self, request: Request<Sent>) -> Result<Request<Retrying>, Refusal> {
        let retried = request.escalate();
        retried.map_err(|request| Refusal::may_have_run(&request, Code::Failed))
    }

    /// Records the arrival of the first event of a stream.
    pub fn on_first_event(&mut self, now: Now, request: &mut Request<Sent>) {
        request.record_start(now.instant);
        let (stage, head) = (request.stage(), request.head());
        let prefill = Prefill {
            tokens: head.prompt_tokens() - head.shared_tokens(),
            latency: now.instant.saturating_duration_since(stage.sent_at),
        };
        let model = stage.plan().model.as_ref();
        let upstreams = &mut self.state.upstreams;
        upstreams.on_first_event(now.instant, &stage.slot, model, prefill);
    }

    /// Records that the caller has received an event of the answer.
    pub fn on_event_delivered(&mut self, now: Now, request: &mut Request<Sent>, event: EventId) {
        let version = request.stage().slot.version.clone();
        request.record_delivery(event, &version);
        if request.record_continuation(now.instant) {
            let quarantine = &mut self.state.quarantine;
            quarantine.on_progress(now.instant, request.head(), Milestone::Continued);
        }
    }

    /// Takes the pace of a stream while it runs. Streams of a slow version end late, and a rollout must not wait for them.
    pub fn on_pace(&mut self, request: &mut Request<Sent>, pace: Pace) {
        if pace.gaps < MIN_SAMPLE_GAPS || !request.record_service_time_sample() {
            return;
        }
        let rollouts = &mut self.state.rollouts;
        rollouts.count_service_time(Attempt::of(request), pace.mean_gap);
    }

    /// Logs that the caller disconnected before the end of its answer.
    pub fn on_caller_gone(&mut self, id: &RequestId, upstream: &UpstreamId) {
        let note = Note::new(&note::CALLER_GONE).with("request", id);
        self.out.note(note.with("upstream", upstream));
    }

    /// Logs that the process ends before the end of an answer.
    pub fn on_cut(&mut self, id: &RequestId, upstream: Option<&UpstreamId>) {
        let note = Note::new(&note::ANSWER_CUT).with("request", id);
        self.out
            .note(note.with("upstream", upstream.map_or("-", |it| it)));
    }

    /// Whether a failed answer may be retried instead of being forwarded.
    pub fn may_retry(&self, now: Now, request: &Request<Sent>) -> bool {
        let plan = request.stage().plan();
        let can_retry = plan.route.idempotency.may_retry() && plan.has_attempts_left();
        can_retry && self.state.retry_budgets.may_retry(now.instant, &plan.pool)
    }

    /// Logs that a stream resumes from another upstream.
    pub fn on_resumed(&mut self, request: &Request<Sent>) {
        let (plan, slot) = (request.stage().plan(), &request.stage().slot);
        let note = Note::new(&note::STREAM_RESUMED).with("request", &request.head().id);
        let note = note.with("upstream", &slot.upstream);
        self.out
            .note(note.with("after", plan.last_event_id.unwrap_or(0)));
    }

    /// Logs that an answer is aborted, because no upstream can continue it.
    pub fn on_aborted(&mut self, id: &str, refusal: &Refusal) {
        let note = Note::new(&note::ANSWER_ABORTED).with("request", id);
        let note = note
            .with("why", refusal.code())
            .with("step", refusal.step());
        self.out.note(note);
    }

    /// Logs a refused request.
    pub fn on_refused(&mut self, id: &str, refusal: &Refusal) {
        let active = self.state.configuration.active();
        let generation = active.map_or(0, |it| it.generation);
        let ran = match refusal.ran() {
            Ran::No => "no",
            Ran::Maybe => "maybe",
        };
        let note = Note::new(&note::REQUEST_REFUSED).with("request", id);
        let note = note
            .with("why", refusal.code())
            .with("step", refusal.step());
        self.out
            .note(note.with("ran", ran).with("generation", generation));
    }
}
