//! The way back: what comes of an attempt passes the steps of [`pass`] in their order, as a request passes the chain.
//!
//! A step lets a signal through or says what is wrong with it. A fault ends the attempt, never the request: whether and
//! where it is sent again is decided elsewhere.

mod fault;
mod part;

pub use fault::Fault;
pub use part::Part;

use crate::event::Signal;
use crate::filter::View;
use crate::id::AttemptId;
use crate::record::{Bill, Key};
use crate::request::{Head, Pinned, Request, Sent, Target};

/// HTTP status by which an upstream says that it takes no more for now.
const BUSY: u16 = 503;

/// Takes a signal of an attempt through all steps: match, order, count, bill.
pub fn pass(
    request: &mut Request<Sent>,
    attempt_id: AttemptId,
    signal: Signal,
    view: &View<'_>,
) -> Result<Part, Fault> {
    let signal = matched(request, attempt_id, signal)?;
    let part = ordered(request, attempt_id, signal)?;
    let part = counted(request, part)?;
    Ok(billed(request, part, view))
}

/// Takes whatever comes for what was asked; only for tests of the steps.
pub(crate) fn pass_unchecked(
    request: &mut Request<Sent>,
    signal: Signal,
    view: &View<'_>,
) -> Result<Part, Fault> {
    let part = match signal {
        Signal::Head { .. } => Part::Nothing,
        Signal::Part { length, bytes, .. } => {
            request.stage_mut().delivered += length;
            Part::Piece(bytes)
        }
        Signal::End { usage } => Part::Whole { usage, bill: None },
        Signal::Failed(failure) => return Err(Fault::Failed(failure)),
    };
    Ok(billed(request, part, view))
}

/// The signal names the attempt that it came for, or none, and a plain service need not name it in parts.
fn matched(
    request: &Request<Sent>,
    attempt_id: AttemptId,
    signal: Signal,
) -> Result<Signal, Fault> {
    let stage = request.stage();
    let attempt = stage.attempt(attempt_id).ok_or(Fault::Late)?;
    let is_chat = matches!(request.head().target, Target::Chat(_));
    let is_own = match &signal {
        Signal::Head { tag, .. } => tag.as_ref().is_none_or(|tag| *tag == attempt.tag),
        Signal::Part { tag: None, .. } => !is_chat,
        Signal::Part { tag: Some(tag), .. } => *tag == attempt.tag,
        Signal::End { .. } | Signal::Failed(_) => true,
    };
    if is_own {
        Ok(signal)
    } else {
        Err(Fault::Crossed)
    }
}

/// Parts follow each other without a gap; what the caller has already is dropped.
fn ordered(
    request: &mut Request<Sent>,
    attempt_id: AttemptId,
    signal: Signal,
) -> Result<Part, Fault> {
    match signal {
        Signal::Head {
            status,
            content_type,
            ..
        } => {
            if is_refused(request, status) {
                return Err(Fault::Status(status));
            }
            let Some(attempt) = request.stage_mut().attempt_mut(attempt_id) else {
                return Err(Fault::Late);
            };
            (attempt.status, attempt.content_type) = (Some(status), content_type);
            Ok(Part::Nothing)
        }
        Signal::Part {
            offset,
            length,
            bytes,
            ..
        } => {
            let delivered = request.stage().delivered;
            let end = offset
                .checked_add(length)
                .ok_or(Fault::Gap { offset, delivered })?;
            if length > 0 && end <= delivered {
                return Ok(Part::Nothing);
            }
            if offset != delivered || length == 0 {
                return Err(Fault::Gap { offset, delivered });
            }
            request.stage_mut().delivered = end;
            Ok(Part::Piece(bytes))
        }
        Signal::End { usage } => Ok(Part::Whole { usage, bill: None }),
        Signal::Failed(failure) => Err(Fault::Failed(failure)),
    }
}

/// Whether a status says that the upstream has not taken the request up.
fn is_refused(request: &Request<Sent>, status: u16) -> bool {
    match request.head().target {
        Target::Chat(_) => status != 200,
        Target::Service(_) => status == BUSY && request.is_idempotent(),
    }
}

/// An answer is whole only with as many tokens, or bytes, as its upstream has counted.
fn counted(request: &Request<Sent>, part: Part) -> Result<Part, Fault> {
    let Part::Whole { usage, .. } = &part else {
        return Ok(part);
    };
    let delivered = request.stage().delivered;
    let counted = u64::from(usage.completion_tokens);
    if counted == delivered.min(u32::MAX.into()) {
        Ok(part)
    } else {
        Err(Fault::Count { counted, delivered })
    }
}

/// A whole answer has its bill.
fn billed(request: &Request<Sent>, part: Part, view: &View<'_>) -> Part {
    let Part::Whole { usage, .. } = part else {
        return part;
    };
    let stage = request.stage();
    // The upstream failed in a way that it could still tell, so there is nothing to pay for.
    if stage.attempt.status.is_some_and(|status| status >= 500) {
        return Part::Whole { usage, bill: None };
    }
    let bill = bill(stage.origin.pinned(), request.head(), stage.delivered, view);
    Part::Whole {
        usage,
        bill: Some(bill),
    }
}

/// A bill for the tokens that the caller has got, and for the prompt.
pub fn bill(pinned: &Pinned, head: &Head, delivered: u64, view: &View<'_>) -> Bill {
    let key = Key {
        customer: pinned.allowed.customer.clone(),
        request: head.id.clone(),
    };
    let version = pinned.plan.version().cloned();
    let tokens = match &head.target {
        Target::Chat(chat) => delivered.saturating_add(chat.prompt_tokens.into()),
        Target::Service(_) => 0,
    };
    let in_force = view.state.rules.in_force();
    let rule = version
        .as_ref()
        .and_then(|id| in_force?.rules.versions.get(id));
    let cost = rule.map_or(0, |version| version.cost.saturating_mul(tokens) / 1000);
    Bill {
        key,
        version,
        tokens,
        cost,
    }
}
