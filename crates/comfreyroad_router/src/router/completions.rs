//! Complete answers: what is learned from them, and their line in the log.

use std::time::{Duration, Instant};

use comfreyroad::clock::Now;

use super::Router;
use crate::answer::{Completion, Milestone};
use crate::controller::rollouts::Attempt;
use crate::note::{self, Note};
use crate::request::{Request, Sent};
use crate::work::Answer;

impl Router {
    /// Records the end of a complete answer.
    pub fn on_finished(&mut self, now: Now, request: &Request<Sent>, completion: Completion) {
        self.touch_session(now, request);
        let plan = request.stage().plan();
        self.state.shares.settle(now.instant, plan);
        if let Some(service_time) = completion.service_time
            && !request.stage().has_sampled_service_time
        {
            let rollouts = &mut self.state.rollouts;
            rollouts.count_service_time(Attempt::of(request), service_time);
        }
        self.learn_work(now, request, completion);
        if completion.is_success {
            let quarantine = &mut self.state.quarantine;
            quarantine.on_progress(now.instant, request.head(), Milestone::Complete);
        }
        self.count_answer(request, completion.is_success);
        self.log_served(now, request, completion);
    }

    /// Learns from a complete answer what requests take.
    fn learn_work(&mut self, now: Now, request: &Request<Sent>, completion: Completion) {
        let (stage, head) = (request.stage(), request.head());
        let (plan, now) = (stage.plan(), now.instant);
        let estimates = &mut self.state.estimates;
        let usual = estimates.pace(&plan.pool, plan.model.as_ref());
        // What was resumed or failed says nothing about the length of an answer.
        if completion.is_success && head.last_event_id.is_none() && !plan.has_failed {
            let answer = Answer {
                events: completion.events,
                pace: completion.service_time,
                work: now.saturating_duration_since(stage.sent_at),
            };
            estimates.on_finished(now, (head, plan), answer);
        }
        let upstreams = &mut self.state.upstreams;
        upstreams.on_success(now, &stage.slot, (completion.service_time, usual));
    }

    fn log_served(&mut self, now: Now, request: &Request<Sent>, completion: Completion) {
        let (plan, slot) = (request.stage().plan(), &request.stage().slot);
        let took = now
            .instant
            .saturating_duration_since(request.head().received_at);
        let sent_at = request.stage().sent_at;
        let expected = |at: Instant| at.saturating_duration_since(sent_at).as_millis();
        let millis = |time: Option<Duration>| time.unwrap_or_default().as_secs_f64() * 1000.0;
        let note = Note::new(&note::REQUEST_SERVED)
            .with("request", &request.head().id)
            .with("route", &plan.route.id)
            .with("upstream", &slot.upstream)
            .with("version", &slot.version)
            .with("model", plan.model.as_deref().unwrap_or("-"))
            .with("customer", plan.customer.as_deref().unwrap_or("-"))
            .with("share", plan.standing.name())
            .with("runs", plan.runs)
            .with("good", completion.is_success)
            .with(
                "first_ms",
                format_args!("{:.1}", millis(completion.first_event_after)),
            )
            .with(
                "pace_ms",
                format_args!("{:.2}", millis(completion.service_time)),
            )
            .with("took_ms", took.as_millis())
            .with("first_expected_ms", expected(slot.estimate.first_event_at))
            .with("last_expected_ms", expected(slot.estimate.last_event_at))
            .with(
                "late_expected_ms",
                expected(slot.estimate.late_last_event_at),
            );
        self.out.note(note);
    }

    pub(super) fn count_answer(&mut self, request: &Request<Sent>, is_success: bool) {
        let rollouts = &mut self.state.rollouts;
        rollouts.count_answer(Attempt::of(request), is_success);
    }
}
