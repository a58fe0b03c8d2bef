use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexSet;

use crate::event::Event;
use crate::frame::{Frame, View};
use crate::id::Address;
use crate::outbox::Outbox;
use crate::settings::Settings;

/// Peers notified at once of new rules.
const FANOUT: usize = 4;
/// Time for a peer to send its rules.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two requests to peers for a newer confirmation.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of sent frames whose sending time is kept.
const MAX_SENT_FRAMES: usize = 512;

/// Gossip about the rules.
///
/// New rules are announced by an offset of a few bytes. An entry that lacks the rules requests the text from one peer at a
/// time, so that it is transferred only once.
#[derive(Debug)]
pub(super) struct Gossip {
    own_address: Address,
    fetch: Option<Fetch>,
    text_requests: IndexSet<Address>,
    next_request_at: Option<Instant>,
    last_received: Option<Receipt>,
    last_sent_number: u64,
    sent_at: VecDeque<Instant>,
    rng: Rng,
}

/// A request for the rules to a peer.
#[derive(Debug)]
struct Fetch {
    from: Address,
    until: Instant,
    is_sent: bool,
}

/// The newest frame received, which the next frame to its sender acknowledges.
#[derive(Debug)]
struct Receipt {
    from: Address,
    number: u64,
    is_brief: bool,
}

impl Gossip {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            own_address: settings.address.clone(),
            fetch: None,
            text_requests: IndexSet::new(),
            next_request_at: None,
            last_received: None,
            last_sent_number: 0,
            sent_at: VecDeque::new(),
            rng: Rng::with_seed(settings.seed),
        }
    }

    /// Records a received frame. Returns the sending time of the frame that it answers, if any.
    pub(super) fn on_frame(&mut self, frame: &Frame) -> Option<Instant> {
        self.last_received = Some(Receipt {
            from: frame.address.clone(),
            number: frame.sequence,
            is_brief: frame.is_rules_only,
        });
        if frame.rules.wants_text {
            self.text_requests.insert(frame.address.clone());
        }
        let later_frames = self.last_sent_number.checked_sub(frame.acknowledged?)?;
        let index = self
            .sent_at
            .len()
            .checked_sub(1 + usize::try_from(later_frames).ok()?)?;
        self.sent_at.get(index).copied()
    }

    /// Whether the newest frame came from this peer and was brief.
    pub(super) fn wants_brief_reply(&self, peer: &Address) -> bool {
        self.last_received
            .as_ref()
            .is_some_and(|last| last.is_brief && last.from == *peer)
    }

    /// Numbers a frame for a peer, and has it acknowledge the newest received frame if that came from the peer.
    pub(super) fn number_frame(&mut self, now: Instant, to: &Address, frame: &mut Frame) {
        self.last_sent_number += 1;
        self.sent_at.push_back(now);
        if self.sent_at.len() > MAX_SENT_FRAMES {
            self.sent_at.pop_front();
        }
        frame.sequence = self.last_sent_number;
        let answered = self.last_received.as_ref().filter(|last| last.from == *to);
        frame.acknowledged = answered.map(|last| last.number);
    }

    /// Requests the rules from a peer, unless another request is pending.
    pub(super) fn fetch(&mut self, now: Instant, from: &Address, out: &mut Outbox) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.until > now) {
            return;
        }
        self.fetch = Some(Fetch {
            from: from.clone(),
            until: now + FETCH_TIMEOUT,
            is_sent: false,
        });
        out.raise(Event::GossipRules { to: from.clone() });
    }

    /// Abandons the request to a peer that did not answer.
    pub(super) fn on_failure(&mut self, peer: &Address) {
        self.fetch.take_if(|fetch| fetch.from == *peer);
    }

    /// Ends the request once the rules have arrived.
    pub(super) fn on_fetched(&mut self) {
        self.fetch = None;
    }

    /// Whether the next frame to a peer is to request its rules. True once per request.
    pub(super) fn should_request_text(&mut self, peer: &Address) -> bool {
        let Some(fetch) = &mut self.fetch else {
            return false;
        };
        fetch.from == *peer && !std::mem::replace(&mut fetch.is_sent, true)
    }

    /// Whether a peer has requested the rules. Forgets the request.
    pub(super) fn take_text_request(&mut self, peer: &Address) -> bool {
        self.text_requests.swap_remove(peer)
    }

    /// Notifies a few random peers at once.
    pub(super) fn notify(&mut self, view: &View, out: &mut Outbox) {
        for to in self.choose_peers(view, FANOUT) {
            out.raise(Event::GossipRules { to });
        }
    }

    /// Requests a newer confirmation from the given reader, and from a random peer if a view is given.
    pub(super) fn request_confirmation(
        &mut self,
        now: Instant,
        reader: Option<Address>,
        view: Option<&View>,
        out: &mut Outbox,
    ) {
        if self.next_request_at.is_some_and(|at| at > now) {
            return;
        }
        self.next_request_at = Some(now + REQUEST_INTERVAL);
        let random_peer = view.map_or(Vec::new(), |view| self.choose_peers(view, 1));
        for to in reader.into_iter().chain(random_peer) {
            out.raise(Event::GossipRules { to });
        }
    }

    fn choose_peers(&mut self, view: &View, count: usize) -> Vec<Address> {
        let members = view.members.values();
        let others = members.filter(|beat| beat.address != self.own_address);
        let chosen = self.rng.choose_multiple(others, count);
        chosen
            .into_iter()
            .map(|beat| beat.address.clone())
            .collect()
    }
}
