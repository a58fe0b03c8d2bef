use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::Event;
use comfreyroad::action::Send;
use comfreyroad::clock::Now;
use comfreyroad::event::{Failure, Signal};
use comfreyroad::id::{
    Address, AttemptId, AttemptTag, BootId, PoolId, RequestId, UpstreamId, VersionId, ZoneId,
};
use comfreyroad::request::{Target, Usage};
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use indexmap::IndexMap;

use super::journal::{Overload, Run, Sending};
use super::node::Post;
use super::{Bench, Step, ZONES};

/// One way between an entry and an upstream.
const WAY: Duration = Duration::from_millis(1);
/// Time until the first token, or until a service answers.
const FIRST: Duration = Duration::from_millis(50);
/// Time between two tokens.
const NEXT: Duration = Duration::from_millis(20);
/// Time after which a start counts as long past.
const WARM_AFTER: Duration = Duration::from_secs(30);
/// Time until the VM list shows that an upstream leaves.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Engines in each zone.
const ENGINES: usize = 2;

/// A model engine or a plain service.
pub(crate) struct Upstream {
    pub(crate) id: UpstreamId,
    pub(crate) zone: ZoneId,
    /// When it began to leave.
    pub(crate) left: Option<Instant>,
    /// What goes wrong with the next parts of its answers.
    pub(crate) mischief: Vec<Mischief>,
    pool: PoolId,
    address: Address,
    boot: u32,
    started: Instant,
    slots: u32,
    cold: u32,
    good: u32,
    versions: Vec<VersionId>,
    is_listed_leaving: bool,
    answers: IndexMap<AttemptTag, Answer>,
}

/// What can go wrong with a part of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Mischief {
    /// It names another attempt.
    Crossed,
    /// It comes twice.
    Doubled,
    /// It never comes.
    Missing,
    /// It comes late, after the next ones.
    Late,
}

/// An answer under way.
struct Answer {
    post: Post,
    attempt: AttemptId,
    parts: Vec<Arc<[u8]>>,
    offset: usize,
    is_chat: bool,
    is_busy: bool,
}

/// Two engines and a service in each zone, all long started but one engine.
pub(crate) fn fleet(now: Instant) -> IndexMap<UpstreamId, Upstream> {
    let mut fleet = IndexMap::new();
    for index in 0..ZONES.len() * ENGINES {
        let mut engine = Upstream::new(&format!("eng-{index}"), "drafting", index, now);
        engine.versions = ["mona@1", "mona@2", "lisa@1"].map(Into::into).into();
        if index == 0 {
            engine.started = now;
        }
        fleet.insert(engine.id.clone(), engine);
    }
    for index in 0..ZONES.len() {
        let service = Upstream::new(&format!("app-{index}"), "orders", index, now);
        fleet.insert(service.id.clone(), service);
    }
    fleet
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

impl Upstream {
    fn new(id: &str, pool: &str, index: usize, now: Instant) -> Self {
        Self {
            id: id.into(),
            zone: ZONES[index % ZONES.len()].into(),
            left: None,
            mischief: Vec::new(),
            pool: pool.into(),
            address: format!("{id}:9000").into(),
            boot: 1,
            started: now - WARM_AFTER * 4,
            slots: 8,
            cold: 2,
            good: 0,
            versions: Vec::new(),
            is_listed_leaving: false,
            answers: IndexMap::new(),
        }
    }

    fn boot_id(&self) -> BootId {
        format!("{}-{}", self.id, self.boot).into()
    }

    fn is_starting(&self, now: Instant) -> bool {
        self.good < self.slots * 2 && now < self.started + WARM_AFTER
    }

    /// Requests that it bears at once.
    fn bears(&self, now: Instant) -> u32 {
        if self.is_starting(now) {
            self.slots.min(self.cold + self.good / 2)
        } else {
            self.slots
        }
    }

    fn running(&self) -> u32 {
        self.answers
            .values()
            .filter(|answer| !answer.is_busy)
            .count() as u32
    }

    pub(super) fn vm(&self) -> Vm {
        let state = if self.is_listed_leaving {
            VmState::Leaving
        } else {
            VmState::Live
        };
        Vm {
            id: self.id.clone(),
            kind: VmKind::Upstream,
            pool: self.pool.clone(),
            zone: self.zone.clone(),
            address: self.address.clone(),
            state,
        }
    }

    pub(super) fn report(&self, now: Now) -> Load {
        Load {
            at: now.system,
            boot: self.boot_id(),
            uptime: now.instant - self.started,
            running: self.running(),
            waiting: 0,
            slots: self.slots,
            kv_used: 0.0,
            versions: self.versions.clone(),
        }
    }

    /// The connections of an entry that has died are gone.
    pub(super) fn hang_up(&mut self, post: Post) {
        self.answers.retain(|_, answer| answer.post != post);
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
        let named = match mischief {
            Some(Mischief::Crossed) => "another.attempt".into(),
            _ => tag.clone(),
        };
        let signal = Signal::Piece {
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

    fn signal(
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

    /// Starts an upstream's program anew, without a word to anyone.
    pub(crate) fn restart(&mut self, id: &UpstreamId) {
        let now = self.now.instant;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.boot += 1;
        (upstream.started, upstream.good) = (now, 0);
        for answer in std::mem::take(&mut upstream.answers).into_values() {
            let failure = Failure {
                unwritten: None,
                busy: false,
                reason: "connection reset".into(),
            };
            self.signal(
                answer.post,
                answer.attempt,
                id,
                WAY,
                Signal::Failed(failure),
            );
        }
    }

    /// An upstream is to leave; the VM list says so a little later.
    pub(crate) fn leave(&mut self, id: &UpstreamId) {
        let now = self.now.instant;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.left = Some(now);
        let id = id.clone();
        self.after(LIST_LAG, move |bench| {
            if let Some(upstream) = bench.upstreams.get_mut(&id) {
                upstream.is_listed_leaving = true;
            }
        });
    }
}
