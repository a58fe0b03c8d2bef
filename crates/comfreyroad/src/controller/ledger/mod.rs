//! Bills for requests. Of several bills with one key the highest counts, and an answer ends only when its bill is safe.
//!
//! A bill is safe once it is on the log, or once a peer in another zone stores a replica of it. The peer appends the
//! replica to the log if the entry that sent it restarts, is lost, or does not append the bill itself for a long time.

mod peers;
mod pending;
mod replicas;
mod state;
mod total;

pub use state::State;
pub use total::Total;

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::Controller;
use crate::clock::Now;
use crate::event::{Event, Page};
use crate::frame::{Frame, View};
use crate::id::{Address, CallId, CustomerId, EntryId};
use crate::mechanism::Mechanism;
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::record::{Bill, Key, Record, Stream};
use crate::settings::Settings;
use peers::Peers;
use pending::Pending;
use replicas::Replicas;

/// Minimum time between two requests to a peer to store bills.
const REPLICA_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a replica is appended to the log although the entry that sent it is still live.
const REPLICA_APPEND_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of bills in one frame.
const MAX_BILLS_PER_FRAME: usize = 256;
/// Number of times that totals are written per horizon.
const TOTALS_PER_HORIZON: u32 = 4;
/// Delay of each entry's write of the totals after the previous entry's, so that usually only one entry writes them.
const TOTALS_STAGGER: Duration = Duration::from_secs(5);

/// Tracks the bills that are not on the log yet and the totals of those that are.
#[derive(Debug)]
pub struct Ledger {
    entry: EntryId,
    bill_wait: Duration,
    horizon: Duration,
    state: State,
    pending: IndexMap<Key, Pending>,
    replicas: Replicas,
    // Bills whose replicas the peers can drop.
    to_release: IndexMap<Address, Vec<Key>>,
    members: Rc<View>,
    replica_peers: Peers,
    open_requests: IndexSet<Address>,
    next_request_at: Option<Instant>,
    totals_at: Option<Instant>,
    at_risk: u64,
    disabled: Vec<Mechanism>,
}

impl Ledger {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            bill_wait: settings.bill_wait,
            horizon: settings.request_id_lifetime,
            state: State::new(settings.request_id_lifetime),
            pending: IndexMap::new(),
            replicas: Replicas::default(),
            to_release: IndexMap::new(),
            members: Rc::default(),
            replica_peers: Peers::new(&settings.entry, &settings.zone),
            open_requests: IndexSet::new(),
            next_request_at: None,
            totals_at: None,
            at_risk: 0,
            disabled: settings.disabled.clone(),
        }
    }

    /// Returns what each customer owes according to the records read so far.
    pub fn customer_totals(&self) -> &IndexMap<CustomerId, Total> {
        self.state.customer_totals()
    }

    /// Returns the state of the ledger stream read so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Number of bills of this entry that are not yet known to be on the log.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Number of replicas stored for other entries.
    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }

    /// Number of answers that ended before their bill was safe.
    pub fn at_risk(&self) -> u64 {
        self.at_risk
    }

    fn on_bill_wanted(&mut self, now: Now, call: CallId, bill: &Bill, out: &mut Outbox) {
        let is_counted = |cost| cost >= bill.cost;
        if self.state.highest_cost(&bill.key).is_some_and(is_counted) {
            out.raise(Event::BillSafe(call));
            return;
        }
        self.append(now, bill, Some(call), out);
        self.request_replicas(now, out);
    }

    /// Queues a bill for the log, unless an equal or higher one with its key is pending.
    fn append(&mut self, now: Now, bill: &Bill, call: Option<CallId>, out: &mut Outbox) {
        let give_up_at = now.instant + self.bill_wait;
        match self.pending.get_mut(&bill.key) {
            Some(known) if known.bill.cost >= bill.cost => {
                if known.is_replicated {
                    call.into_iter()
                        .for_each(|call| out.raise(Event::BillSafe(call)));
                    return;
                }
                known.calls.extend(call);
                known.give_up_at = give_up_at;
                return;
            }
            Some(known) => known.replace_bill(bill, call, give_up_at),
            None => {
                let pending = Pending::new(bill, call, give_up_at);
                self.pending.insert(bill.key.clone(), pending);
            }
        }
        out.raise(Event::Write {
            stream: Stream::Ledger,
            record: Rc::new(Record::Bill(bill.clone())),
        });
    }

    /// Asks a peer in another zone to store the bills that are not safe yet, with one open request per peer and a minimum
    /// interval between requests.
    fn request_replicas(&mut self, now: Now, out: &mut Outbox) {
        let is_too_early = self.next_request_at.is_some_and(|at| at > now.instant);
        if is_too_early || self.disabled.contains(&Mechanism::BillReplicas) {
            return;
        }
        let mut unreplicated = self
            .pending
            .values_mut()
            .filter(|pending| !pending.is_replicated)
            .peekable();
        if unreplicated.peek().is_none() {
            return;
        }
        let Some(peer) = self.replica_peers.choose(now.instant) else {
            return;
        };
        unreplicated.for_each(|pending| pending.replica_peer = Some(peer.clone()));
        if self.open_requests.insert(peer.clone()) {
            self.next_request_at = Some(now.instant + REPLICA_REQUEST_INTERVAL);
            out.raise(Event::GossipRules { to: peer });
        }
    }

    fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        let orphans = self
            .replicas
            .on_frame(frame, now.instant + REPLICA_APPEND_DELAY);
        self.append_orphans(now, &orphans, out);
        for key in &frame.stored_bills {
            let Some(pending) = self.pending.get_mut(key) else {
                // The bill has reached the log in the meantime.
                let released = self.to_release.entry(frame.address.clone()).or_default();
                released.push(key.clone());
                continue;
            };
            if pending.replica_peer.as_ref() == Some(&frame.address) {
                pending.is_replicated = true;
                for call in pending.calls.drain(..) {
                    out.raise(Event::BillSafe(call));
                }
            }
        }
        if self.open_requests.swap_remove(&frame.address) {
            self.request_replicas(now, out);
        }
    }

    fn on_failure(&mut self, now: Now, peer: &Address, out: &mut Outbox) {
        self.open_requests.swap_remove(peer);
        self.replica_peers.avoid(peer, now.instant);
        self.next_request_at = None;
        self.request_replicas(now, out);
    }

    fn on_members(&mut self, now: Now, view: &Rc<View>, out: &mut Outbox) {
        self.members = Rc::clone(view);
        self.replica_peers.set_members(view);
        let is_live =
            |address: &Address| view.members.values().any(|beat| beat.address == *address);
        for pending in self.pending.values_mut() {
            if pending
                .replica_peer
                .as_ref()
                .is_some_and(|peer| !is_live(peer))
            {
                pending.clear_replica();
            }
        }
        self.open_requests.retain(is_live);
        self.to_release.retain(|address, _| is_live(address));
        let orphans = self.replicas.take_orphans(view);
        self.append_orphans(now, &orphans, out);
        self.request_replicas(now, out);
    }

    /// Appends bills of other entries as if they were this entry's own.
    fn append_orphans(&mut self, now: Now, orphans: &[Bill], out: &mut Outbox) {
        for bill in orphans {
            self.append(now, bill, None, out);
        }
    }

    /// Handles a bill that is on the log: completes the answers that wait for it and releases the replica.
    fn on_bill_logged(&mut self, bill: &Bill, out: &mut Outbox) {
        self.replicas.on_bill_logged(bill);
        let pending = self.pending.get(&bill.key);
        if pending.is_none_or(|pending| pending.bill.cost > bill.cost) {
            return;
        }
        let Some(pending) = self.pending.swap_remove(&bill.key) else {
            return;
        };
        for call in pending.calls {
            out.raise(Event::BillSafe(call));
        }
        if let Some(peer) = pending.replica_peer {
            self.to_release
                .entry(peer)
                .or_default()
                .push(bill.key.clone());
        }
    }

    fn on_page(&mut self, now: Now, page: &Page, out: &mut Outbox) {
        self.state.begin_page(page);
        for entry in &page.entries {
            if self.state.feed(entry)
                && let Some(Record::Bill(bill)) = &entry.record
            {
                out.note(Note::new(&note::DUPLICATE_BILL).with("request", &bill.key.request));
            }
            match &entry.record {
                Some(Record::Bill(bill)) => self.on_bill_logged(bill, out),
                Some(Record::Totals { .. }) => {
                    let age = now.system.duration_since(entry.at).unwrap_or_default();
                    self.totals_at = Some(self.totals_due(now, age));
                }
                _ => {}
            }
        }
    }

    /// Returns when this entry writes totals, given the age of the newest totals on the log.
    fn totals_due(&self, now: Now, age: Duration) -> Instant {
        let rank = self.members.members.get_index_of(&self.entry).unwrap_or(0) as u32;
        let period = self.horizon / TOTALS_PER_HORIZON;
        now.instant + period.saturating_sub(age) + TOTALS_STAGGER * rank
    }

    fn on_tick(&mut self, now: Now, out: &mut Outbox) {
        for (key, pending) in &mut self.pending {
            if pending.give_up_at > now.instant {
                continue;
            }
            for call in pending.calls.drain(..) {
                self.at_risk += 1;
                out.note(Note::new(&note::BILL_AT_RISK).with("request", &key.request));
                out.raise(Event::BillSafe(call));
            }
        }
        let overdue = self.replicas.take_overdue(now.instant);
        self.append_orphans(now, &overdue, out);
        self.request_replicas(now, out);
        self.write_totals(now, out);
    }

    fn write_totals(&mut self, now: Now, out: &mut Outbox) {
        let due = self.totals_due(now, Duration::ZERO);
        let is_off = self.disabled.contains(&Mechanism::Totals);
        if is_off || *self.totals_at.get_or_insert(due) > now.instant {
            return;
        }
        self.totals_at = Some(due);
        let Some(totals) = self.state.totals_record() else {
            return;
        };
        out.raise(Event::Write {
            stream: Stream::Ledger,
            record: Rc::new(totals),
        });
    }
}

impl Controller for Ledger {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::BillWanted { call, bill } => self.on_bill_wanted(now, *call, bill, out),
            Event::Read(page) if page.stream == Stream::Ledger => self.on_page(now, page, out),
            Event::Written { stream, records } if *stream == Stream::Ledger => {
                for record in records {
                    if let Record::Bill(bill) = &**record {
                        self.on_bill_logged(bill, out);
                    }
                }
            }
            Event::Peer(frame) => self.on_frame(now, frame, out),
            Event::PeerFailed(peer) => self.on_failure(now, peer, out),
            Event::Members(view) => self.on_members(now, view, out),
            Event::Tick => self.on_tick(now, out),
            _ => {}
        }
    }

    fn fill(&mut self, _: Now, to: &Address, frame: &mut Frame) {
        let is_requested = |pending: &&Pending| {
            !pending.is_replicated && pending.replica_peer.as_ref() == Some(to)
        };
        let unreplicated = self
            .pending
            .values()
            .filter(is_requested)
            .take(MAX_BILLS_PER_FRAME);
        frame.bills_to_store = unreplicated.map(|pending| pending.bill.clone()).collect();
        frame.stored_bills = self.replicas.take_acks(to);
        frame.released_bills = self.to_release.swap_remove(to).unwrap_or_default();
    }
}
