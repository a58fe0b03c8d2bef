use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::action::{Action, Send};
use comfreyroad::event::{Failure, LogEntry, Page, Signal};
use comfreyroad::frame::Frame;
use comfreyroad::id::Address;
use comfreyroad::record::{Record, Stream};
use comfreyroad::request::Usage;

use super::Fleet;

/// One-way network delay between two VMs.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// Time after which an exchange with a peer fails.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age of a load report on arrival.
const REPORT_DELAY: Duration = Duration::from_millis(200);

impl Fleet {
    pub(super) fn perform(&mut self, index: usize, boot: u64, action: Action) {
        match action {
            Action::Read { stream, from, wait } => self.read(index, boot, stream, from, wait),
            Action::Append { batch, .. } => {
                self.schedule(
                    index,
                    boot,
                    ONE_WAY_DELAY,
                    Event::Appended { batch, first: 1 },
                );
            }
            Action::ListVms if !self.is_list_down => {
                let (at, vms) = (self.now.system, self.list());
                self.schedule(index, boot, ONE_WAY_DELAY, Event::Vms { at, vms });
            }
            Action::AskLoad { upstream, .. } => {
                self.counters.polls += 1;
                let load = self.upstreams.get(&upstream).map(|it| it.load(self.now));
                self.schedule(index, boot, REPORT_DELAY, Event::Load { upstream, load });
            }
            Action::Exit => self.kill(index),
            Action::SendFrame { to, frame } => self.exchange(index, boot, &to, *frame),
            Action::Send(send) => self.send(index, boot, &send),
            Action::Cancel { attempt, tag, .. } => {
                for upstream in self.upstreams.values_mut() {
                    upstream.running.swap_remove(&tag);
                }
                // An attempt whose connection is closed delivers no more signals.
                let is_dead = |event: &Event| matches!(event, Event::Attempt { attempt: other, .. } if *other == attempt);
                self.queue.retain(|_, (node, start, event)| {
                    (*node, *start) != (index, boot) || !is_dead(event)
                });
            }
            _ => {}
        }
    }

    fn read(&mut self, index: usize, boot: u64, stream: Stream, from: u64, wait: Duration) {
        let publish = || LogEntry {
            offset: 0,
            at: self.now.system,
            record: Some(Record::Publish {
                by: "mona".into(),
                after: 0,
                text: self.text.clone(),
            }),
        };
        let has_news = stream == Stream::Rules && from == 0;
        let page = Page {
            stream,
            requested_at: self.now.instant,
            from,
            oldest: 0,
            next: u64::from(stream == Stream::Rules),
            entries: has_news.then(publish).into_iter().collect(),
        };
        let wait = if has_news { ONE_WAY_DELAY } else { wait };
        self.schedule(index, boot, wait, Event::Read(page));
    }

    fn count(&mut self, frame: &Frame) {
        self.counters.frames += 1;
        if !self.is_measured {
            return;
        }
        let size = |frame: &Frame| comfreyroad_wire::frame::encode(frame).len() as u64;
        let all = size(frame);
        self.counters.bytes += all;
        let mut reduced = frame.clone();
        reduced.heartbeats = Vec::new();
        self.counters.heartbeat_bytes += all - size(&reduced);
        let without_heartbeats = size(&reduced);
        (reduced.digests, reduced.suspected_restarts) = Default::default();
        self.counters.digest_bytes += without_heartbeats - size(&reduced);
    }

    /// Sends a frame to a peer, which processes it and replies immediately; the reply arrives after one round trip.
    fn exchange(&mut self, index: usize, boot: u64, to: &Address, frame: Frame) {
        self.count(&frame);
        let known = |node: &super::Node| node.settings.address == *to;
        let peer = self.nodes.iter().position(known);
        let is_lost = |one: usize, two: usize| self.cut_links.contains(&(one, two));
        let failed = Event::PeerFailed(to.clone());
        let Some(peer) = peer.filter(|peer| !is_lost(index, *peer)) else {
            return self.schedule(index, boot, PEER_TIMEOUT, failed);
        };
        let node = &mut self.nodes[peer];
        let Some(entry) = node.entry.as_mut().filter(|_| node.deferred.is_none()) else {
            let (wait, boot_of_peer) = (ONE_WAY_DELAY, node.boot);
            self.schedule(peer, boot_of_peer, wait, Event::Peer(Box::new(frame)));
            return self.schedule(index, boot, PEER_TIMEOUT, failed);
        };
        let address = frame.address.clone();
        let began = std::time::Instant::now();
        let mut actions = entry.handle(self.now, Event::Peer(Box::new(frame)));
        let asks = Event::PeerRequest {
            exchange: 0,
            address,
        };
        actions.extend(entry.handle(self.now, asks));
        self.counters.busy += began.elapsed();
        let peer_boot = self.nodes[peer].boot;
        for action in actions {
            if let Action::Reply { frame, .. } = action {
                self.count(&frame);
                let event = if self.cut_links.contains(&(peer, index)) {
                    Event::PeerFailed(to.clone())
                } else {
                    Event::Peer(frame)
                };
                self.schedule(index, boot, ONE_WAY_DELAY * 2, event);
            } else {
                self.perform(peer, peer_boot, action);
            }
        }
    }

    fn send(&mut self, index: usize, boot: u64, send: &Send) {
        let time = Duration::from_millis(self.rng.u64(self.size.service.clone()));
        let upstream = send.upstream.clone();
        let Some(target) = self.begin(&upstream, send.tag.clone(), time) else {
            return;
        };
        let head = Signal::Head {
            status: 200,
            content_type: None,
            tag: Some(send.tag.clone()),
            boot: Some(target.boot_id()),
        };
        let signals = [
            (ONE_WAY_DELAY, head),
            (
                time + ONE_WAY_DELAY,
                Signal::End {
                    usage: Usage::default(),
                },
            ),
        ];
        for (wait, signal) in signals {
            let event = Event::Attempt {
                attempt: send.attempt,
                upstream: upstream.clone(),
                signal,
            };
            self.schedule(index, boot, wait, event);
        }
    }

    /// Restarts an upstream; all attempts open there fail with a connection reset.
    pub(crate) fn restart_upstream(&mut self, id: &str) {
        let now = self.now;
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.restart(now);
        }
        let is_open = |event: &Event| matches!(event, Event::Attempt { upstream, signal: Signal::End { .. }, .. } if &**upstream == id);
        let open: Vec<_> = self
            .queue
            .iter()
            .filter(|(_, (_, _, event))| is_open(event))
            .map(|(key, _)| *key)
            .collect();
        for key in open {
            let Some((
                index,
                boot,
                Event::Attempt {
                    attempt, upstream, ..
                },
            )) = self.queue.remove(&key)
            else {
                continue;
            };
            let signal = Signal::Failed(Failure {
                unwritten: None,
                is_busy: false,
                reason: "connection reset".into(),
            });
            let event = Event::Attempt {
                attempt,
                upstream,
                signal,
            };
            self.schedule(index, boot, ONE_WAY_DELAY, event);
        }
    }
}
