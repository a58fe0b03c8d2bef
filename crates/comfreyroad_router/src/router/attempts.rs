//! Attempts that bring no answer: rejected, handed over or failed.

use comfreyroad::clock::Now;

use super::Router;
use crate::Refusal;
use crate::answer::{Fault, Milestone};
use crate::controller::Controllers;
use crate::filter::hand_over;
use crate::note::{self, Note};
use crate::refusal::Code;
use crate::request::{Placed, Rejection, Request, Retrying, Returned, Sent};

impl Router {
    /// Handles a rejection: the upstream has not run the request.
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
        request.reject(now.instant, rejection)
    }

    /// Moves a request whose upstream is silent to another one. Returns the request if none can take it now, so that it stays
    /// where it is.
    pub fn hand_over(
        &mut self,
        now: Now,
        mut request: Request<Sent>,
        fault: Fault,
    ) -> Result<Request<Placed>, Request<Sent>> {
        if let Some(slot) = hand_over::find_slot(&request, now.instant, &mut self.state) {
            self.record_failure(now, &request, fault);
            return Ok(request.leave()?.with_slot(slot));
        }
        self.record_silence(now, &mut request);
        Err(request)
    }

    /// Offers a request whose upstream is silent to another one. The attempt goes on meanwhile: an upstream that looks free may still
    /// reject the request. `None` if no other upstream can take it now.
    pub fn offer(&mut self, now: Now, request: &mut Request<Sent>) -> Option<Request<Placed>> {
        let Some(slot) = hand_over::find_slot(request, now.instant, &mut self.state) else {
            self.record_silence(now, request);
            return None;
        };
        Some(request.offer(slot))
    }

    /// Handles that the upstream to which a request was offered has not taken it.
    pub fn on_declined(&mut self, now: Now, request: &mut Request<Sent>, declined: Returned) {
        self.record_silence(now, request);
        request.stay(declined);
    }

    /// Handles that a silent upstream is left, as another one takes its request.
    pub fn on_left(&mut self, now: Now, request: &Request<Sent>, fault: Fault) {
        self.record_failure(now, request, fault);
    }

    fn record_silence(&mut self, now: Now, request: &mut Request<Sent>) {
        if !request.record_silence() {
            return;
        }
        let slot = &request.stage().slot;
        let note = Note::new(&note::UPSTREAM_SILENT).with("request", &request.head().id);
        let note = note.with("upstream", &slot.upstream);
        self.out
            .note(note.with("started", request.stage().has_started));
        let upstreams = &mut self.state.upstreams;
        upstreams.on_failure(now.instant, slot, &mut self.out);
    }

    /// Handles a failed attempt that the upstream may have run.
    pub fn on_failed(
        &mut self,
        now: Now,
        request: Request<Sent>,
        fault: Fault,
    ) -> Result<Request<Retrying>, Refusal> {
        self.record_failure(now, &request, fault);
        let is_late = request.stage().plan().deadline <= now.instant;
        let code = if is_late {
            Code::Deadline
        } else {
            Code::Failed
        };
        let retried = request.fail();
        retried.map_err(|request| Refusal::may_have_run(&request, code))
    }

    fn record_failure(&mut self, now: Now, request: &Request<Sent>, fault: Fault) {
        let slot = &request.stage().slot;
        let note = Note::new(&note::ATTEMPT_FAILED).with("request", &request.head().id);
        let note = note
            .with("upstream", &slot.upstream)
            .with("why", fault.name())
            .with("started", request.stage().has_started)
            .with(
                "reached",
                request.stage().milestone.map_or("-", Milestone::name),
            )
            .with("parts", request.head().shared_part_ids());
        self.out
            .note(note.with("runs", request.stage().plan().runs));
        if !(fault.is_silence() && request.stage().is_silent) {
            let upstreams = &mut self.state.upstreams;
            upstreams.on_failure(now.instant, slot, &mut self.out);
        }
        let is_broken = matches!(fault, Fault::Broken | Fault::Truncated);
        if is_broken {
            let Controllers {
                quarantine,
                upstreams,
                ..
            } = &mut self.state;
            quarantine.on_crash(now.instant, request);
            quarantine.update(now.instant, upstreams, &mut self.out);
        }
        self.count_answer(request, false);
    }
}
