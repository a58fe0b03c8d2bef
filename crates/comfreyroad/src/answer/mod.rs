//! Handling of answers: each signal of an attempt passes the steps of [`process`] in order, as a request passes the
//! filter chain.
//!
//! A step passes a signal on or reports a fault. A fault ends the attempt, not the request: the dispatcher decides
//! whether and where the request is sent again.

mod fault;
mod part;

pub use fault::Fault;
pub use part::Part;

use crate::event::Signal;
use crate::filter::View;
use crate::id::AttemptId;
use crate::record::{Bill, Key};
use crate::request::{Head, Pinned, Request, Sent, Target};

/// HTTP status with which an overloaded upstream rejects a request.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Runs a signal of an attempt through all steps: match, order, count and bill.
pub fn process(
    request: &mut Request<Sent>,
    attempt_id: AttemptId,
    signal: Signal,
    view: &View<'_>,
) -> Result<Part, Fault> {
    let signal = check_attempt(request, attempt_id, signal)?;
    let part = check_order(request, attempt_id, signal)?;
    let part = check_count(request, part)?;
    Ok(attach_bill(request, part, view))
}

/// Accepts every signal without checks. Only tests that disable the steps use it.
pub(crate) fn process_unchecked(
    request: &mut Request<Sent>,
    signal: Signal,
    view: &View<'_>,
) -> Result<Part, Fault> {
    let part = match signal {
        Signal::Head { .. } => Part::Nothing,
        Signal::Part { length, bytes, .. } => {
            request.stage_mut().delivered += length;
            Part::Bytes(bytes)
        }
        Signal::End { usage } => Part::Complete { usage, bill: None },
        Signal::Failed(failure) => return Err(Fault::Failed(failure)),
    };
    Ok(attach_bill(request, part, view))
}

/// Checks that the signal belongs to the attempt. The head of an answer may carry no attempt tag. The parts must carry
/// the tag of the attempt, except that those of a plain service may carry none.
fn check_attempt(
    request: &Request<Sent>,
    attempt_id: AttemptId,
    signal: Signal,
) -> Result<Signal, Fault> {
    let stage = request.stage();
    let attempt = stage.attempt(attempt_id).ok_or(Fault::Late)?;
    let is_chat = matches!(request.head().target, Target::Chat(_));
    let is_match = match &signal {
        Signal::Head { tag, .. } => tag.as_ref().is_none_or(|tag| *tag == attempt.tag),
        Signal::Part { tag: None, .. } => !is_chat,
        Signal::Part { tag: Some(tag), .. } => *tag == attempt.tag,
        Signal::End { .. } | Signal::Failed(_) => true,
    };
    if is_match {
        Ok(signal)
    } else {
        Err(Fault::Mismatch)
    }
}

/// Checks that the parts follow each other without a gap, and drops those that the caller already has.
fn check_order(
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
            if is_rejected(request, status) {
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
            Ok(Part::Bytes(bytes))
        }
        Signal::End { usage } => Ok(Part::Complete { usage, bill: None }),
        Signal::Failed(failure) => Err(Fault::Failed(failure)),
    }
}

/// Whether a status means that the upstream has rejected the request.
fn is_rejected(request: &Request<Sent>, status: u16) -> bool {
    match request.head().target {
        Target::Chat(_) => status != 200,
        Target::Service(_) => status == SERVICE_UNAVAILABLE && request.is_idempotent(),
    }
}

/// Checks that a complete answer has as many tokens, or bytes, as the upstream has counted.
fn check_count(request: &Request<Sent>, part: Part) -> Result<Part, Fault> {
    let Part::Complete { usage, .. } = &part else {
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

/// Attaches the bill to a complete answer.
fn attach_bill(request: &Request<Sent>, part: Part, view: &View<'_>) -> Part {
    let Part::Complete { usage, .. } = part else {
        return part;
    };
    let stage = request.stage();
    // A server error is a complete answer, but it is not billed.
    if stage.attempt.status.is_some_and(|status| status >= 500) {
        return Part::Complete { usage, bill: None };
    }
    let bill = bill(stage.origin.pinned(), request.head(), stage.delivered, view);
    Part::Complete {
        usage,
        bill: Some(bill),
    }
}

/// Creates the bill for the prompt and the tokens delivered to the caller.
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
    let priced = version
        .as_ref()
        .and_then(|id| in_force?.rules.versions.get(id));
    let cost = priced.map_or(0, |version| version.cost.saturating_mul(tokens) / 1000);
    Bill {
        key,
        version,
        tokens,
        cost,
    }
}
