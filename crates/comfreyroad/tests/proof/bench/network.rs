use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::action::Action;
use comfreyroad::frame::Frame;
use comfreyroad::id::Address;
use comfreyroad::note;
use comfreyroad::upstream::{Vm, VmKind, VmState};
use indexmap::{IndexMap, IndexSet};

use super::node::Instance;
use super::{Bench, Outcome, Step};

/// Time after which a peer that does not answer counts as failed.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Age of a load report when it arrives.
const LOAD_LAG: Duration = Duration::from_millis(100);

/// The simulated network between the entries and between each entry and the log.
#[derive(Default)]
pub(crate) struct Network {
    /// Directed links, from one entry to another, on which frames are lost.
    pub(crate) cuts: IndexSet<(usize, usize)>,
    /// Entries whose requests to the log are lost.
    pub(crate) log_requests_lost: IndexSet<usize>,
    /// Entries that lose the replies of the log.
    pub(crate) log_replies_lost: IndexSet<usize>,
    /// Entries that are missing from the VM list.
    pub(crate) unlisted: IndexSet<usize>,
    /// Latency added to each frame.
    pub(crate) delay: Duration,
    /// Percentage of frames that are lost.
    pub(crate) loss: u32,
    /// Whether each frame is delivered twice.
    pub(crate) duplicates_frames: bool,
    exchanges: IndexMap<u64, Instance>,
}

impl Bench {
    /// Performs an action of an entry.
    pub(super) fn perform(&mut self, instance: Instance, action: Action) {
        match action {
            Action::Send(send) => self.send(instance, *send),
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
            Action::Deliver { call, bytes } => self.on_deliver(instance, call as usize, &bytes),
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
            } => self.append(instance, batch, stream, records),
            Action::Read { stream, from, wait } => self.read(instance, stream, from, wait),
            Action::ListVms => self.list_vms(instance),
            Action::AskLoad { upstream, .. } => {
                self.reached(Step::LoadAsked, instance.node, Some(&upstream), None);
                let load = self.upstreams.get(&upstream).map(|it| it.report(self.now));
                self.deliver_after(instance, LOAD_LAG, Event::Load { upstream, load });
            }
            Action::SendFrame { to, frame } => self.send_frame(instance, &to, &frame),
            Action::Reply { exchange, frame } => self.reply(instance, exchange, frame),
            Action::Rate { call, version, .. } => self.rate(instance, call, &version),
            Action::Ready(is_ready) => self.nodes[instance.node].ready = is_ready,
            Action::Note(note) => {
                if note.kind == &note::BILL_AT_RISK {
                    self.journal.at_risk.push(note.to_string());
                }
            }
            Action::Exit => self.exit(instance.node),
        }
    }

    fn list_vms(&mut self, instance: Instance) {
        let entry = |node: &super::Node| Vm {
            id: node.settings.entry.clone(),
            kind: VmKind::Entry,
            pool: "".into(),
            zone: node.settings.zone.clone(),
            address: node.settings.address.clone(),
            state: VmState::Live,
        };
        let nodes = self.nodes.iter().enumerate();
        let listed = nodes.filter(|(index, _)| !self.network.unlisted.contains(index));
        let entries = listed.map(|(_, node)| entry(node));
        let upstreams = self.upstreams.values().map(|upstream| upstream.vm());
        let vms = entries.chain(upstreams).collect();
        let (at, wait) = (self.now.system, self.latency());
        self.deliver_after(instance, wait, Event::Vms { at, vms });
    }

    fn send_frame(&mut self, instance: Instance, to: &Address, frame: &Frame) {
        self.reached(Step::PeerExchange, instance.node, None, None);
        let position = self
            .nodes
            .iter()
            .position(|node| node.settings.address == *to);
        let Some(peer) = position else { return };
        if self.is_lost(instance.node, peer) {
            return self.deliver_after(instance, TIMEOUT, Event::PeerFailed(to.clone()));
        }
        self.sequence += 1;
        let exchange = self.sequence;
        self.network.exchanges.insert(exchange, instance);
        for _ in 0..1 + usize::from(self.network.duplicates_frames) {
            let (frame, wait) = (frame.clone(), self.latency() + self.network.delay);
            self.after(wait, move |bench| bench.on_frame(peer, exchange, frame));
        }
    }

    fn on_frame(&mut self, peer: usize, exchange: u64, frame: Frame) {
        if self.nodes[peer].entry.is_none() {
            return self.fail_exchange(peer, exchange);
        }
        if self.is_paused(peer) {
            // A deferred frame is answered too late unless the entry resumes within the timeout.
            self.after(TIMEOUT, move |bench| bench.fail_exchange(peer, exchange));
        }
        let (peer, address) = (self.instance(peer), frame.address.clone());
        self.deliver(peer, Event::Peer(Box::new(frame)));
        self.deliver(peer, Event::PeerRequest { exchange, address });
    }

    /// Reports to the sender of a frame that the peer is dead or paused and has not replied.
    fn fail_exchange(&mut self, peer: usize, exchange: u64) {
        if let Some(sender) = self.network.exchanges.swap_remove(&exchange) {
            let address = self.nodes[peer].settings.address.clone();
            let wait = self.latency();
            self.deliver_after(sender, wait, Event::PeerFailed(address));
        }
    }

    fn reply(&mut self, instance: Instance, exchange: u64, frame: Box<Frame>) {
        self.reached(Step::PeerReply, instance.node, None, None);
        let Some(sender) = self.network.exchanges.swap_remove(&exchange) else {
            return;
        };
        if self.is_lost(instance.node, sender.node) {
            return self.deliver_after(sender, TIMEOUT, Event::PeerFailed(frame.address.clone()));
        }
        let wait = self.latency() + self.network.delay;
        self.deliver_after(sender, wait, Event::Peer(frame));
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        self.network.cuts.contains(&(from, to)) || self.rng.u32(..100) < self.network.loss
    }

    /// Cuts the link from one entry to another, but not the reverse link.
    pub(crate) fn cut_one_way(&mut self, from: usize, to: usize) {
        self.network.cuts.insert((from, to));
    }

    /// Cuts the links between two entries in both directions.
    pub(crate) fn cut(&mut self, one: usize, other: usize) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Removes all network faults.
    pub(crate) fn heal(&mut self) {
        self.network.cuts.clear();
        self.network.log_requests_lost.clear();
        self.network.log_replies_lost.clear();
        (
            self.network.delay,
            self.network.loss,
            self.network.duplicates_frames,
        ) = Default::default();
    }
}
