//! Late first parts: a second sending where the budget and the upstreams allow it.

use super::{Active, Dispatcher, Turn};
use crate::controller::trace::Step;
use crate::event::Event;
use crate::filter::hedge;
use crate::id::CallId;
use crate::note::{self, Note};

impl Dispatcher {
    /// Hedges one call whose answer is late. The budget is read anew before each, so there is one a tick at most.
    pub(super) fn hedge_late(&mut self, turn: &mut Turn<'_>) {
        if !turn.state.budgets.may_hedge() {
            return;
        }
        let view = turn.view();
        let late = self.calls.iter().find_map(|(id, known)| {
            let Some(Active::Running(request)) = &known.active else {
                return None;
            };
            let has_begun = known.begun || !known.held.is_empty();
            Some((*id, hedge::slot(request, has_begun, &view)?))
        });
        if let Some((call, slot)) = late {
            self.hedge(call, slot, turn);
        }
    }

    fn hedge(&mut self, call: CallId, slot: crate::upstream::Slot, turn: &mut Turn<'_>) {
        let attempt = self.new_attempt(slot, 0, turn);
        let Some(known) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(Active::Running(mut request)) = known.active.take() else {
            return;
        };
        let upstream = &attempt.slot.upstream;
        turn.out.note(
            Note::new(&note::ANSWER_HEDGED)
                .with("call", call)
                .with("upstream", upstream),
        );
        turn.explain(call, Step::new("hedge", "late").with("upstream", upstream));
        turn.out.raise(Event::Hedged);
        self.send_attempt(call, &request, &attempt, turn);
        request.stage_mut().hedge = Some(attempt);
        if let Some(known) = self.calls.get_mut(&call) {
            known.active = Some(Active::Running(request));
        }
    }
}
