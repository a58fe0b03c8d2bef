//! Hedges requests whose first part is late, if the budget and the upstreams allow it.

use super::{Context, Dispatcher, State};
use crate::controller::trace::Step;
use crate::event::Event;
use crate::filter::hedge;
use crate::id::CallId;
use crate::note::{self, Note};

impl Dispatcher {
    /// Hedges one call whose answer is late. The budget is checked before each hedge, so there is at most one per tick.
    pub(super) fn hedge_late(&mut self, ctx: &mut Context<'_>) {
        if !ctx.state.budgets.may_hedge() {
            return;
        }
        let view = ctx.view();
        let late = self.calls.iter().find_map(|(id, open_call)| {
            let Some(State::Running(request)) = &open_call.state else {
                return None;
            };
            let has_begun = open_call.has_begun || !open_call.buffered.is_empty();
            Some((*id, hedge::slot(request, has_begun, &view)?))
        });
        if let Some((call, slot)) = late {
            self.hedge(call, slot, ctx);
        }
    }

    fn hedge(&mut self, call: CallId, slot: crate::upstream::Slot, ctx: &mut Context<'_>) {
        let attempt = self.new_attempt(slot, 0, ctx);
        let Some(open_call) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(State::Running(mut request)) = open_call.state.take() else {
            return;
        };
        let upstream = &attempt.slot.upstream;
        ctx.out.note(
            Note::new(&note::ANSWER_HEDGED)
                .with("call", call)
                .with("upstream", upstream),
        );
        ctx.explain(call, Step::new("hedge", "late").with("upstream", upstream));
        ctx.out.raise(Event::Hedged);
        self.send_attempt(call, &request, &attempt, ctx);
        request.stage_mut().hedge = Some(attempt);
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.state = Some(State::Running(request));
        }
    }
}
