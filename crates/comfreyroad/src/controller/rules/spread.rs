use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexSet;

use crate::event::Event;
use crate::frame::{Frame, View};
use crate::id::Address;
use crate::outbox::Outbox;
use crate::settings::Settings;

/// Peers told at once of something new.
const FANOUT: usize = 4;
/// Time for a peer to hand over its rules.
const FETCH: Duration = Duration::from_millis(500);
/// Least time between two questions to peers for a newer confirmation.
const ASK: Duration = Duration::from_millis(500);
/// Frames whose moment of sending is remembered.
const SENT: usize = 512;

/// What is told to peers of the rules, and asked of them.
///
/// News goes out as a number of a few bytes. Whoever lacks the rules asks one peer for the text, so that it comes once.
#[derive(Debug)]
pub(super) struct Spread {
    own: Address,
    fetch: Option<Fetch>,
    wanted: IndexSet<Address>,
    ask_at: Option<Instant>,
    last: Option<Heard>,
    last_number: u64,
    sent: VecDeque<Instant>,
    rng: Rng,
}

/// The rules are asked of a peer.
#[derive(Debug)]
struct Fetch {
    from: Address,
    until: Instant,
    is_asked: bool,
}

/// The newest frame that came, which may have to be answered.
#[derive(Debug)]
struct Heard {
    from: Address,
    number: u64,
    is_brief: bool,
}

impl Spread {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            own: settings.address.clone(),
            fetch: None,
            wanted: IndexSet::new(),
            ask_at: None,
            last: None,
            last_number: 0,
            sent: VecDeque::new(),
            rng: Rng::with_seed(settings.seed),
        }
    }

    /// Takes in a frame; gives the moment at which the frame that it answers was sent.
    pub(super) fn hear(&mut self, frame: &Frame) -> Option<Instant> {
        self.last = Some(Heard {
            from: frame.address.clone(),
            number: frame.number,
            is_brief: frame.is_brief,
        });
        if frame.news.wants {
            self.wanted.insert(frame.address.clone());
        }
        let back = self.last_number.checked_sub(frame.answers?)?;
        let index = self
            .sent
            .len()
            .checked_sub(1 + usize::try_from(back).ok()?)?;
        self.sent.get(index).copied()
    }

    /// Whether the newest frame of a peer spoke of the rules only.
    pub(super) fn wants_brief_reply(&self, peer: &Address) -> bool {
        self.last
            .as_ref()
            .is_some_and(|last| last.is_brief && last.from == *peer)
    }

    /// Numbers a frame for a peer, and names the frame of that peer that it came after.
    pub(super) fn seal(&mut self, now: Instant, to: &Address, frame: &mut Frame) {
        self.last_number += 1;
        self.sent.push_back(now);
        if self.sent.len() > SENT {
            self.sent.pop_front();
        }
        frame.number = self.last_number;
        let answered = self.last.as_ref().filter(|last| last.from == *to);
        frame.answers = answered.map(|last| last.number);
    }

    /// Asks a peer for its rules, unless another one is being asked.
    pub(super) fn fetch(&mut self, now: Instant, from: &Address, out: &mut Outbox) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.until > now) {
            return;
        }
        self.fetch = Some(Fetch {
            from: from.clone(),
            until: now + FETCH,
            is_asked: false,
        });
        out.raise(Event::Brief { to: from.clone() });
    }

    /// Gives up on a peer that did not answer.
    pub(super) fn failed(&mut self, peer: &Address) {
        self.fetch.take_if(|fetch| fetch.from == *peer);
    }

    /// The rules have come.
    pub(super) fn fetched(&mut self) {
        self.fetch = None;
    }

    /// Whether the next frame to a peer is the one that asks for its rules.
    pub(super) fn wants(&mut self, peer: &Address) -> bool {
        let Some(fetch) = &mut self.fetch else {
            return false;
        };
        fetch.from == *peer && !std::mem::replace(&mut fetch.is_asked, true)
    }

    /// Whether a peer has asked for the rules.
    pub(super) fn is_wanted(&mut self, peer: &Address) -> bool {
        self.wanted.swap_remove(peer)
    }

    /// Tells a few peers at once.
    pub(super) fn push(&mut self, view: &View, out: &mut Outbox) {
        for to in self.choose(view, FANOUT) {
            out.raise(Event::Brief { to });
        }
    }

    /// Asks peers for a newer confirmation: the one given, and one by chance.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        reader: Option<Address>,
        others: Option<&View>,
        out: &mut Outbox,
    ) {
        if self.ask_at.is_some_and(|at| at > now) {
            return;
        }
        self.ask_at = Some(now + ASK);
        let others = others.map_or(Vec::new(), |view| self.choose(view, 1));
        for to in reader.into_iter().chain(others) {
            out.raise(Event::Brief { to });
        }
    }

    fn choose(&mut self, view: &View, count: usize) -> Vec<Address> {
        let members = view.members.values();
        let others = members.filter(|beat| beat.address != self.own);
        let chosen = self.rng.choose_multiple(others, count);
        chosen
            .into_iter()
            .map(|beat| beat.address.clone())
            .collect()
    }
}
