use std::sync::Arc;
use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::action::Send;
use comfreyroad::event::Signal;
use comfreyroad::id::{Address, AttemptId, AttemptTag, RequestId, UpstreamId};
use comfreyroad::request::{Target, Usage};

use super::journal::{Overload, Run, Sending};
use super::node::Post;
use super::{Bench, Step};

/// One way between an entry and an upstream.
pub(super) const WAY: Duration = Duration::from_millis(1);
/// Time until the first token, or until a service answers.
const FIRST: Duration = Duration::from_millis(50);
/// Time between two tokens.
const NEXT: Duration = Duration::from_millis(20);

/// What can go wrong with a part of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Mischief {
    /// It is a part of another attempt's answer.
    Crossed,
    /// It comes twice.
    Doubled,
    /// It never comes.
    Missing,
    /// It comes late, after the next ones.
    Late,
}

/// An answer under way.
pub(super) struct Answer {
    pub(super) post: Post,
    pub(super) attempt: AttemptId,
    pub(super) parts: Vec<Arc<[u8]>>,
    pub(super) offset: usize,
    pub(super) is_chat: bool,
    pub(super) is_busy: bool,
}
/// The parts of which the whole answer to a request consists.
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
    pub(super) fn send(&mut self, post: Post, send: Send) {
        let call = send.head.call as usize;
        self.journal.sendings.push(Sending {
            at: self.now.instant,
            post,
            call,
            tag: send.tag.clone(),
            upstream: send.upstream.clone(),
            version: send.version.clone(),
            customer: self.calls[call].spec.customer.into(),
            generation: self.generation(post.node),
        });
        self.reached(Step::Sent, post.node, Some(&send.upstream), Some(call));
        self.after(WAY, move |bench| bench.on_request(post, &send));
    }

    pub(super) fn cancel(&mut self, tag: AttemptTag, address: Address) {
        self.after(WAY, move |bench| {
            let mut all = bench.upstreams.values_mut();
            if let Some(upstream) = all.find(|upstream| upstream.address == address) {
                upstream.answers.shift_remove(&tag);
            }
        });
    }

    fn on_request(&mut self, post: Post, send: &Send) {
        let now = self.now.instant;
        let Some(upstream) = self.upstreams.get_mut(&send.upstream) else {
            return;
        };
        let (given, bears) = (upstream.running() + 1, upstream.bears(now));
        let is_busy = given > bears;
        if is_busy && upstream.is_starting(now) {
            let fell_over = given > bears * 2;
            self.journal.overloads.push(Overload {
                at: now,
                upstream: send.upstream.clone(),
                given,
                bears,
                fell_over,
            });
            if fell_over {
                return self.restart(&send.upstream);
            }
        }
        let all = parts(&send.head.id, &send.head.target);
        let answer = Answer {
            post,
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
                post.node,
                Some(&send.upstream),
                Some(send.head.call as usize),
            );
        }
        let (id, tag) = (send.upstream.clone(), send.tag.clone());
        self.after(FIRST, move |bench| bench.on_first(id, tag));
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
        let (post, attempt) = (answer.post, answer.attempt);
        self.signal(post, attempt, &id, WAY, signal);
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
        let (post, attempt, offset) = (answer.post, answer.attempt, answer.offset);
        let Some(bytes) = answer.parts.get(offset).cloned() else {
            return self.on_last(&id, &tag);
        };
        answer.offset += 1;
        let length = if answer.is_chat {
            1
        } else {
            bytes.len() as u64
        };
        let mischief = upstream.mischief.pop();
        let (named, bytes) = match mischief {
            Some(Mischief::Crossed) => ("another.attempt".into(), Arc::from(*b"crossed ")),
            _ => (tag.clone(), bytes),
        };
        let signal = Signal::Part {
            tag: Some(named),
            offset: offset as u64,
            length,
            bytes,
        };
        let copies = match mischief {
            Some(Mischief::Missing) => 0,
            Some(Mischief::Doubled) => 2,
            _ => 1,
        };
        let wait = match mischief {
            Some(Mischief::Late) => WAY + NEXT * 3,
            _ => WAY,
        };
        for _ in 0..copies {
            self.signal(post, attempt, &id, wait, signal.clone());
        }
        self.after(NEXT, move |bench| bench.on_part(id, tag));
    }

    fn on_last(&mut self, id: &UpstreamId, tag: &AttemptTag) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let Some(answer) = upstream.answers.shift_remove(tag) else {
            return;
        };
        upstream.good += u32::from(!answer.is_busy);
        // Tokens of an engine, bytes of a plain service.
        let counted = match answer.is_chat {
            true => answer.parts.len(),
            false => answer.parts.iter().map(|part| part.len()).sum(),
        };
        let usage = Usage {
            completion_tokens: counted as u32,
            ..Usage::default()
        };
        self.signal(answer.post, answer.attempt, id, WAY, Signal::End { usage });
    }

    pub(super) fn signal(
        &mut self,
        post: Post,
        attempt: AttemptId,
        id: &UpstreamId,
        wait: Duration,
        signal: Signal,
    ) {
        let upstream = id.clone();
        self.answer(
            post,
            wait,
            Event::Attempt {
                attempt,
                upstream,
                signal,
            },
        );
    }
}
