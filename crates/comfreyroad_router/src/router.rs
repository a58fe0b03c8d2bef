//! A router: the controllers, and the doors through which requests and events come in.

use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;

use crate::answer::{self, Completion, Fault, Verdict};
use crate::controller::Controllers;
use crate::controller::upstreams::Prefill;
use crate::filter::place::{self, Backpressure};
use crate::filter::{Context, chain, escalate};
use crate::frame::Frame;
use crate::id::{EventId, RequestId, UpstreamId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::refusal::{Code, Ran};
use crate::request::{
    Placed, Planned, Received, Rejection, Request, Retrying, Returned, Sent, Unplaced,
};
use crate::{Action, Event, Refusal, Settings};

/// Part of an objective in which the first event of a stream must come before another upstream is tried.
const FIRST_EVENT: f64 = 1.5;
/// Part of an objective in which a plain answer must come before another upstream is tried.
const PLAIN_ANSWER: f64 = 0.7;
/// Part of the longest pause in which the next event must come before another upstream goes on.
const NEXT_EVENT: f64 = 1.5;

/// All decisions of one entry.
#[derive(Debug)]
pub struct Router {
    state: Controllers,
    out: Outbox,
}

impl Router {
    /// A router that knows nothing yet; feed it [`Event::Started`] first.
    pub fn new(settings: &Settings) -> Self {
        Self {
            state: Controllers::new(settings),
            out: Outbox::default(),
        }
    }

    /// The state, to be read.
    pub fn state(&self) -> &Controllers {
        &self.state
    }

    /// Takes an event and says what is to be done.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.out.raise(event);
        while let Some(event) = self.out.next_raised() {
            self.state.handle(now, &event, &mut self.out);
            if let Event::RolloutOrdered(pool) = &event {
                // Sessions under way are the rollouts' to keep where they are.
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

    /// Takes a peer's frame and gives the answer to it.
    pub fn exchange(&mut self, now: Now, frame: Frame) -> (Frame, Vec<Action>) {
        let to = frame.sender.address.clone();
        let actions = self.handle(now, Event::FrameReceived(Rc::new(frame)));
        (self.state.build_frame(now, &to), actions)
    }

    /// What requests gave rise to: log events.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out).into_actions()
    }

    /// Takes a new request through the chain.
    pub fn admit(
        &mut self,
        now: Now,
        request: Request<Received>,
    ) -> Result<Request<Planned>, Refusal> {
        let state = &self.state;
        chain::run(request, Context { now, state })
    }

    /// Finds a place for a request.
    pub fn place<S: Unplaced>(
        &mut self,
        now: Now,
        request: Request<S>,
    ) -> Result<Request<Placed>, Backpressure<S>> {
        place::place(request, now.instant, &mut self.state)
    }

    /// A placed request is sent now.
    pub fn send(&mut self, now: Now, request: Request<Placed>) -> Request<Sent> {
        let is_first = !request.stage().origin.plan().is_retry();
        let request = request.send(now.instant);
        let (plan, slot) = (request.stage().plan(), &request.stage().slot);
        if is_first {
            self.state
                .retry_budgets
                .record_first_attempt(now.instant, &plan.pool);
        } else {
            self.state
                .retry_budgets
                .record_extra_attempt(now.instant, &plan.pool);
        }
        self.state.rollouts.count_request(&plan.pool, &slot.version);
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
        let state = &self.state;
        if verdict == Verdict::Forward
            && escalate::is_worthwhile(request, head, Context { now, state })
        {
            self.state.upstreams.on_head(&request.stage().slot, head);
            let note = Note::new(&note::ESCALATED).with("request", &request.head().id);
            self.out
                .note(note.with("confidence", head.confidence.unwrap_or(0)));
            return Verdict::LowConfidence;
        }
        if verdict != Verdict::Unusable(Fault::WrongRequest) {
            self.state.upstreams.on_head(&request.stage().slot, head);
        }
        verdict
    }

    /// Asks a larger model, in place of one that is not sure of its answer.
    pub fn escalate(&mut self, request: Request<Sent>) -> Result<Request<Retrying>, Refusal> {
        let repeated = request.escalate();
        repeated.map_err(|request| Refusal::may_have_run(&request, Code::Failed))
    }

    /// Until when the head and first event of an answer, or a plain answer, are waited for at this upstream.
    pub fn response_deadline(&self, now: Now, request: &Request<Sent>) -> Instant {
        let plan = request.stage().plan();
        let route = &plan.route;
        let can_repeat = route.idempotency.may_retry()
            && plan.has_attempts_left()
            && plan.runs == 1
            && self.state.retry_budgets.may_retry(now.instant, &plan.pool);
        if !can_repeat {
            return plan.deadline;
        }
        let part = if route.is_streaming {
            FIRST_EVENT
        } else {
            PLAIN_ANSWER
        };
        plan.deadline
            .min(request.stage().sent_at + route.latency_objective.mul_f64(part))
    }

    /// Until when the next event is waited for at this upstream.
    pub fn next_event_deadline(&self, now: Now, request: &Request<Sent>) -> Instant {
        let plan = request.stage().plan();
        let can_repeat = plan.route.idempotency.may_retry() && plan.has_attempts_left();
        match plan.route.max_event_gap {
            Some(pause) if can_repeat => plan.deadline.min(now.instant + pause.mul_f64(NEXT_EVENT)),
            _ => plan.deadline,
        }
    }

    /// An upstream has not run a request.
    pub fn on_rejected(
        &mut self,
        now: Now,
        request: Request<Sent>,
        rejection: Rejection,
    ) -> Returned {
        let slot = &request.stage().slot;
        let note = Note::new(&note::REQUEST_REJECTED).with("request", &request.head().id);
        let note = note.with("upstream", &slot.upstream);
        self.out.note(note.with("why", rejection.name()));
        if rejection != Rejection::Full {
            let upstreams = &mut self.state.upstreams;
            upstreams.on_unreachable(now.instant, slot, &mut self.out);
        }
        request.reject(rejection)
    }

    /// An attempt failed that may have run.
    pub fn on_failed(
        &mut self,
        now: Now,
        request: Request<Sent>,
        fault: Fault,
    ) -> Result<Request<Retrying>, Refusal> {
        let slot = &request.stage().slot;
        let note = Note::new(&note::ATTEMPT_FAILED).with("request", &request.head().id);
        let note = note
            .with("upstream", &slot.upstream)
            .with("why", fault.name());
        self.out
            .note(note.with("runs", request.stage().plan().runs));
        self.state
            .upstreams
            .on_failure(now.instant, slot, &mut self.out);
        self.count_answer(&request, false);
        let is_late = request.stage().plan().deadline <= now.instant;
        let code = if is_late {
            Code::Deadline
        } else {
            Code::Failed
        };
        let repeated = request.into_retry();
        repeated.map_err(|request| Refusal::may_have_run(&request, code))
    }

    /// The first event of a stream has come.
    pub fn on_first_event(&mut self, now: Now, request: &Request<Sent>) {
        let (stage, head) = (request.stage(), request.head());
        let prefill = Prefill {
            tokens: head.prompt_tokens() - head.shared_tokens(),
            latency: now.instant.saturating_duration_since(stage.sent_at),
        };
        let model = stage.plan().model.as_ref();
        let upstreams = &mut self.state.upstreams;
        upstreams.on_first_event(now.instant, &stage.slot, model, prefill);
    }

    /// The caller has an event of the answer.
    pub fn on_event_delivered(&mut self, request: &mut Request<Sent>, event: EventId) {
        let version = request.stage().slot.version.clone();
        request.record_delivery(event, &version);
    }

    /// An upstream's answer came to its end.
    pub fn on_finished(&mut self, now: Now, request: &Request<Sent>, end: Completion) {
        self.touch_session(now, request);
        let slot = &request.stage().slot;
        if let Some(service_time) = end.service_time {
            let rollouts = &mut self.state.rollouts;
            rollouts.count_service_time(&slot.pool, &slot.version, service_time);
        }
        let upstreams = &mut self.state.upstreams;
        upstreams.on_success(now.instant, slot, end.service_time);
        self.count_answer(request, end.is_success);
        self.log_served(now, request, end);
    }

    fn log_served(&mut self, now: Now, request: &Request<Sent>, end: Completion) {
        let (plan, slot) = (request.stage().plan(), &request.stage().slot);
        let took = now
            .instant
            .saturating_duration_since(request.head().received_at);
        let millis = |time: Option<Duration>| time.unwrap_or_default().as_secs_f64() * 1000.0;
        let note = Note::new(&note::REQUEST_SERVED)
            .with("request", &request.head().id)
            .with("route", &plan.route.id)
            .with("upstream", &slot.upstream)
            .with("version", &slot.version)
            .with("model", plan.model.as_deref().unwrap_or("-"))
            .with("runs", plan.runs)
            .with("good", end.is_success)
            .with(
                "first_ms",
                format_args!("{:.1}", millis(end.first_event_after)),
            )
            .with("pace_ms", format_args!("{:.2}", millis(end.service_time)))
            .with("took_ms", took.as_millis());
        self.out.note(note);
    }

    fn count_answer(&mut self, request: &Request<Sent>, is_good: bool) {
        let slot = &request.stage().slot;
        let rollouts = &mut self.state.rollouts;
        let route = &request.stage().plan().route.id;
        rollouts.count_answer(&slot.pool, &slot.version, route, is_good);
    }

    /// The caller has left before the end of its answer.
    pub fn on_caller_gone(&mut self, id: &RequestId, upstream: &UpstreamId) {
        let note = Note::new(&note::CALLER_GONE).with("request", id);
        self.out.note(note.with("upstream", upstream));
    }

    /// Whether a failed answer may be asked for again, so that it need not be passed on.
    pub fn may_retry(&self, now: Now, request: &Request<Sent>) -> bool {
        let plan = request.stage().plan();
        let can_repeat = plan.route.idempotency.may_retry() && plan.has_attempts_left();
        can_repeat && self.state.retry_budgets.may_retry(now.instant, &plan.pool)
    }

    /// A stream goes on from another upstream.
    pub fn on_resumed(&mut self, request: &Request<Sent>) {
        let (plan, slot) = (request.stage().plan(), &request.stage().slot);
        let note = Note::new(&note::STREAM_RESUMED).with("request", &request.head().id);
        let note = note.with("upstream", &slot.upstream);
        self.out
            .note(note.with("after", plan.last_event_id.unwrap_or(0)));
    }

    /// An answer is broken off, as nothing can go on with it.
    pub fn on_broken_off(&mut self, id: &str, refusal: &Refusal) {
        let note = Note::new(&note::ANSWER_BROKEN_OFF).with("request", id);
        let note = note
            .with("why", refusal.code())
            .with("step", refusal.step());
        self.out.note(note);
    }

    /// A request is refused.
    pub fn on_refused(&mut self, id: &str, refusal: &Refusal) {
        let in_force = self.state.configuration.active();
        let generation = in_force.map_or(0, |it| it.generation);
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
