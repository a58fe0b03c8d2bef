use std::sync::Arc;
use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::action::Send;
use comfreyroad::event::Signal;
use comfreyroad::id::{Address, AttemptId, AttemptTag, RequestId, UpstreamId};
use comfreyroad::request::{Target, Usage};

use super::journal::{Dispatch, Overload, Run};
use super::node::Instance;
use super::{Bench, Step};

/// One-way latency between an entry and an upstream.
pub(super) const LATENCY: Duration = Duration::from_millis(1);
/// Time from the start of a request to the first token or to the answer of a plain service.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(50);
/// Time between two tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// A delivery defect of one part of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Defect {
    /// The part carries the tag of another attempt.
    Crossed,
    /// The part is delivered twice.
    Doubled,
    /// The part is dropped.
    Missing,
    /// The part is delivered after its successors.
    Late,
}

/// An answer in progress at an upstream.
pub(super) struct Answer {
    pub(super) instance: Instance,
    pub(super) attempt: AttemptId,
    pub(super) parts: Vec<Arc<[u8]>>,
    pub(super) offset: usize,
    pub(super) is_chat: bool,
    pub(super) is_busy: bool,
}
/// Returns the parts of the complete answer to a request.
pub(crate) fn parts(request: &RequestId, target: &Target) -> Vec<Arc<[u8]>> {
    let hash = blake3::hash(request.as_bytes()).to_hex();
    let hash = &hash[..8];
    match target {
        Target::Chat(chat) => (0..chat.max_tokens)
            .map(|index| format!("tok{index}-{hash} ").into_bytes().into())
            .collect(),
        Target::Service(_) => vec![format!("done-{hash}").into_bytes().into()],
    }
}

impl Bench {
    pub(super) fn send(&mut self, instance: Instance, send: Send) {
        let call = send.head.call as usize;
        self.journal.dispatches.push(Dispatch {
            at: self.now.instant,
            instance,
            call,
            tag: send.tag.clone(),
            upstream: send.upstream.clone(),
            version: send.version.clone(),
            customer: self.calls[call].spec.customer.into(),
            generation: self.generation(instance.node),
        });
        self.reached(Step::Sent, instance.node, Some(&send.upstream), Some(call));
        self.after(LATENCY, move |bench| bench.on_request(instance, &send));
    }

    pub(super) fn cancel(&mut self, tag: AttemptTag, address: Address) {
        self.after(LATENCY, move |bench| {
            let mut all = bench.upstreams.values_mut();
            if let Some(upstream) = all.find(|upstream| upstream.address == address) {
                upstream.answers.shift_remove(&tag);
            }
        });
    }

    fn on_request(&mut self, instance: Instance, send: &Send) {
        let now = self.now.instant;
        let Some(upstream) = self.upstreams.get_mut(&send.upstream) else {
            return;
        };
        let (in_flight, capacity) = (upstream.running() + 1, upstream.capacity(now));
        let is_busy = in_flight > capacity;
        if is_busy && upstream.is_starting(now) {
            let crashed = in_flight > capacity * 2;
            self.journal.overloads.push(Overload {
                at: now,
                upstream: send.upstream.clone(),
                in_flight,
                capacity,
                crashed,
            });
            if crashed {
                return self.restart(&send.upstream);
            }
        }
        let all = parts(&send.head.id, &send.head.target);
        let answer = Answer {
            instance,
            attempt: send.attempt,
            parts: if is_busy { Vec::new() } else { all },
            offset: send.resume_from as usize,
            is_chat: matches!(send.head.target, Target::Chat(_)),
            is_busy,
        };
        upstream.answers.insert(send.tag.clone(), answer);
        if !is_busy {
            self.journal.runs.push(Run {
                tag: send.tag.clone(),
                request: send.head.id.clone(),
                upstream: send.upstream.clone(),
            });
            self.reached(
                Step::Running,
                instance.node,
                Some(&send.upstream),
                Some(send.head.call as usize),
            );
        }
        let (id, tag) = (send.upstream.clone(), send.tag.clone());
        self.after(FIRST_TOKEN_DELAY, move |bench| bench.on_first(id, tag));
    }

    fn on_first(&mut self, id: UpstreamId, tag: AttemptTag) {
        let Some(upstream) = self.upstreams.get(&id) else {
            return;
        };
        let Some(answer) = upstream.answers.get(&tag) else {
            return;
        };
        if let Some(until) = upstream
            .stalled_until
            .filter(|until| *until > self.now.instant)
        {
            let wait = until - self.now.instant;
            return self.after(wait, move |bench| bench.on_first(id, tag));
        }
        let status = if answer.is_busy { 503 } else { 200 };
        let signal = Signal::Head {
            status,
            content_type: None,
            tag: Some(tag.clone()),
            boot: Some(upstream.boot_id()),
        };
        let (instance, attempt) = (answer.instance, answer.attempt);
        self.signal(instance, attempt, &id, LATENCY, signal);
        self.on_part(id, tag);
    }

    fn on_part(&mut self, id: UpstreamId, tag: AttemptTag) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let Some(answer) = upstream.answers.get_mut(&tag) else {
            return;
        };
        if let Some(until) = upstream
            .stalled_until
            .filter(|until| *until > self.now.instant)
        {
            let wait = until - self.now.instant;
            return self.after(wait, move |bench| bench.on_part(id, tag));
        }
        let (instance, attempt, offset) = (answer.instance, answer.attempt, answer.offset);
        let Some(bytes) = answer.parts.get(offset).cloned() else {
            return self.on_last(&id, &tag);
        };
        answer.offset += 1;
        let length = if answer.is_chat {
            1
        } else {
            bytes.len() as u64
        };
        let defect = upstream.defects.pop();
        let (part_tag, bytes) = match defect {
            Some(Defect::Crossed) => ("another.attempt".into(), Arc::from(*b"crossed ")),
            _ => (tag.clone(), bytes),
        };
        let signal = Signal::Part {
            tag: Some(part_tag),
            offset: offset as u64,
            length,
            bytes,
        };
        let copies = match defect {
            Some(Defect::Missing) => 0,
            Some(Defect::Doubled) => 2,
            _ => 1,
        };
        let wait = match defect {
            Some(Defect::Late) => LATENCY + TOKEN_INTERVAL * 3,
            _ => LATENCY,
        };
        for _ in 0..copies {
            self.signal(instance, attempt, &id, wait, signal.clone());
        }
        self.after(TOKEN_INTERVAL, move |bench| bench.on_part(id, tag));
    }

    fn on_last(&mut self, id: &UpstreamId, tag: &AttemptTag) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let Some(answer) = upstream.answers.shift_remove(tag) else {
            return;
        };
        upstream.answered += u32::from(!answer.is_busy);
        // An engine reports tokens, a plain service bytes.
        let length = match answer.is_chat {
            true => answer.parts.len(),
            false => answer.parts.iter().map(|part| part.len()).sum(),
        };
        let usage = Usage {
            completion_tokens: length as u32,
            ..Usage::default()
        };
        self.signal(
            answer.instance,
            answer.attempt,
            id,
            LATENCY,
            Signal::End { usage },
        );
    }

    pub(super) fn signal(
        &mut self,
        instance: Instance,
        attempt: AttemptId,
        id: &UpstreamId,
        wait: Duration,
        signal: Signal,
    ) {
        let upstream = id.clone();
        self.deliver_after(
            instance,
            wait,
            Event::Attempt {
                attempt,
                upstream,
                signal,
            },
        );
    }
}
