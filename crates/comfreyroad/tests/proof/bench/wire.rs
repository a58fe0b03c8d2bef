use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::action::Action;
use comfreyroad::frame::Frame;
use comfreyroad::id::Address;
use comfreyroad::note;
use comfreyroad::upstream::{Vm, VmKind, VmState};
use indexmap::{IndexMap, IndexSet};

use super::node::Post;
use super::{Bench, Outcome, Step};

/// Time after which a peer that does not answer counts as failed.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Age of a load report when it arrives.
const LOAD_LAG: Duration = Duration::from_millis(100);

/// The network between entries, and from them to the log.
#[derive(Default)]
pub(crate) struct Wire {
    /// Ways on which frames are lost, from one entry to another.
    pub(crate) cuts: IndexSet<(usize, usize)>,
    /// Entries that the log does not hear.
    pub(crate) log_cut: IndexSet<usize>,
    /// Entries that do not hear the log.
    pub(crate) log_deaf: IndexSet<usize>,
    /// Entries that the VM list has dropped.
    pub(crate) unlisted: IndexSet<usize>,
    /// Added to each frame's way.
    pub(crate) delay: Duration,
    /// Percent of frames that are lost.
    pub(crate) loss: u32,
    /// Whether each frame comes twice.
    pub(crate) is_doubling: bool,
    exchanges: IndexMap<u64, Post>,
}

impl Bench {
    /// Carries out what an entry has decided.
    pub(super) fn perform(&mut self, post: Post, action: Action) {
        match action {
            Action::Send(send) => self.send(post, *send),
            Action::Cancel { tag, address, .. } => self.cancel(tag, address),
            Action::Begin {
                call,
                status,
                session,
                version,
                ..
            } => {
                self.on_begin(call as usize, status, session, version);
            }
            Action::Deliver { call, bytes } => self.on_deliver(post, call as usize, &bytes),
            Action::Finish { call, .. } => self.end_call(call as usize, Outcome::Finished),
            Action::Abort(call) => self.end_call(call as usize, Outcome::Broken),
            Action::Refuse { call, refusal } => {
                self.end_call(
                    call as usize,
                    Outcome::Refused(refusal.code(), refusal.ran()),
                );
            }
            Action::Append {
                batch,
                stream,
                records,
            } => self.append(post, batch, stream, records),
            Action::Read { stream, from, wait } => self.read(post, stream, from, wait),
            Action::ListVms => self.list_vms(post),
            Action::AskLoad { upstream, .. } => {
                self.reached(Step::LoadAsked, post.node, Some(&upstream), None);
                let load = self.upstreams.get(&upstream).map(|it| it.report(self.now));
                self.answer(post, LOAD_LAG, Event::Load { upstream, load });
            }
            Action::SendFrame { to, frame } => self.tell(post, &to, &frame),
            Action::Reply { exchange, frame } => self.reply(post, exchange, frame),
            Action::Rate { call, version, .. } => self.rate(post, call, &version),
            Action::Ready(is_ready) => self.nodes[post.node].ready = is_ready,
            Action::Note(note) => {
                if note.kind == &note::BILL_AT_RISK {
                    self.journal.at_risk.push(note.to_string());
                }
            }
            Action::Exit => self.exit(post.node),
        }
    }

    fn list_vms(&mut self, post: Post) {
        let entry = |node: &super::Node| Vm {
            id: node.settings.entry.clone(),
            kind: VmKind::Entry,
            pool: "".into(),
            zone: node.settings.zone.clone(),
            address: node.settings.address.clone(),
            state: VmState::Live,
        };
        let nodes = self.nodes.iter().enumerate();
        let listed = nodes.filter(|(index, _)| !self.wire.unlisted.contains(index));
        let entries = listed.map(|(_, node)| entry(node));
        let upstreams = self.upstreams.values().map(|upstream| upstream.vm());
        let vms = entries.chain(upstreams).collect();
        let (at, wait) = (self.now.system, self.latency());
        self.answer(post, wait, Event::Vms { at, vms });
    }

    fn tell(&mut self, post: Post, to: &Address, frame: &Frame) {
        self.reached(Step::PeerExchange, post.node, None, None);
        let known = self
            .nodes
            .iter()
            .position(|node| node.settings.address == *to);
        let Some(peer) = known else { return };
        if self.is_lost(post.node, peer) {
            return self.answer(post, TIMEOUT, Event::PeerFailed(to.clone()));
        }
        self.sequence += 1;
        let exchange = self.sequence;
        self.wire.exchanges.insert(exchange, post);
        for _ in 0..1 + usize::from(self.wire.is_doubling) {
            let (frame, wait) = (frame.clone(), self.latency() + self.wire.delay);
            self.after(wait, move |bench| bench.on_frame(peer, exchange, frame));
        }
    }

    fn on_frame(&mut self, peer: usize, exchange: u64, frame: Frame) {
        if self.nodes[peer].entry.is_none() {
            return self.fail_exchange(peer, exchange);
        }
        if self.is_paused(peer) {
            // What waits is answered too late, unless the entry goes on before.
            self.after(TIMEOUT, move |bench| bench.fail_exchange(peer, exchange));
        }
        let (peer, address) = (self.post(peer), frame.address.clone());
        self.deliver(peer, Event::Peer(Box::new(frame)));
        self.deliver(peer, Event::PeerRequest { exchange, address });
    }

    /// An entry that is dead or paused has not answered.
    fn fail_exchange(&mut self, peer: usize, exchange: u64) {
        if let Some(asker) = self.wire.exchanges.swap_remove(&exchange) {
            let address = self.nodes[peer].settings.address.clone();
            let wait = self.latency();
            self.answer(asker, wait, Event::PeerFailed(address));
        }
    }

    fn reply(&mut self, post: Post, exchange: u64, frame: Box<Frame>) {
        self.reached(Step::PeerReply, post.node, None, None);
        let Some(asker) = self.wire.exchanges.swap_remove(&exchange) else {
            return;
        };
        if self.is_lost(post.node, asker.node) {
            return self.answer(asker, TIMEOUT, Event::PeerFailed(frame.address.clone()));
        }
        let wait = self.latency() + self.wire.delay;
        self.answer(asker, wait, Event::Peer(frame));
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        self.wire.cuts.contains(&(from, to)) || self.rng.u32(..100) < self.wire.loss
    }

    /// Cuts the way from one entry to another, but not back.
    pub(crate) fn cut_one_way(&mut self, from: usize, to: usize) {
        self.wire.cuts.insert((from, to));
    }

    /// Cuts two entries from each other.
    pub(crate) fn cut(&mut self, one: usize, other: usize) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Mends everything between the machines.
    pub(crate) fn mend(&mut self) {
        self.wire.cuts.clear();
        self.wire.log_cut.clear();
        self.wire.log_deaf.clear();
        (self.wire.delay, self.wire.loss, self.wire.is_doubling) = Default::default();
    }
}
