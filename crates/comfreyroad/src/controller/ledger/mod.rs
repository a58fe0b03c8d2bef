//! Bills: of those with one key the highest counts, and an answer ends only when its bill is safe.
//!
//! A bill is safe on the log or with a peer in another zone. The peer appends it when its origin restarts, goes silent,
//! or does not get it onto the log for long.

mod pending;
mod replica_peers;
mod replica_store;
mod state;
mod total;

pub use state::LedgerState;
pub use total::BilledTotal;

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
use pending::Pending;
use replica_peers::ReplicaPeers;
use replica_store::ReplicaStore;

/// Least time between two questions to keep bills.
const ASK_PERIOD: Duration = Duration::from_millis(100);
/// Time after which a kept bill is appended although its origin lives.
const KEEP: Duration = Duration::from_secs(10);
/// Bills handed over in one frame at most.
const FRAME_BILLS: usize = 256;
/// Totals are written this many times a horizon.
const TOTALS_PER_HORIZON: u32 = 4;
/// How much later each entry writes totals than the one before it, so that mostly one does.
const TOTALS_STEP: Duration = Duration::from_secs(5);

/// Bills on their way to the log, and those read from it.
#[derive(Debug)]
pub struct Ledger {
    entry: EntryId,
    bill_wait: Duration,
    horizon: Duration,
    state: LedgerState,
    pending: IndexMap<Key, Pending>,
    keeper: ReplicaStore,
    // Bills that peers need not keep any longer.
    done: IndexMap<Address, Vec<Key>>,
    members: Rc<View>,
    keepers: ReplicaPeers,
    asked: IndexSet<Address>,
    ask_at: Option<Instant>,
    totals_at: Option<Instant>,
    at_risk: u64,
    without: Vec<Mechanism>,
}

impl Ledger {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            entry: settings.entry.clone(),
            bill_wait: settings.bill_wait,
            horizon: settings.horizon,
            state: LedgerState::new(settings.horizon),
            pending: IndexMap::new(),
            keeper: ReplicaStore::default(),
            done: IndexMap::new(),
            members: Rc::default(),
            keepers: ReplicaPeers::new(&settings.entry, &settings.zone),
            asked: IndexSet::new(),
            ask_at: None,
            totals_at: None,
            at_risk: 0,
            without: settings.without.clone(),
        }
    }

    /// What each customer owes, by the log as far as it was read.
    pub fn customer_totals(&self) -> &IndexMap<CustomerId, BilledTotal> {
        self.state.customer_totals()
    }

    /// The ledger stream, as far as it was read.
    pub fn state(&self) -> &LedgerState {
        &self.state
    }

    /// Bills of this entry not yet known to be on the log.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Bills kept for other entries.
    pub fn replica_count(&self) -> usize {
        self.keeper.len()
    }

    /// Answers that ended before their bill was safe.
    pub fn at_risk(&self) -> u64 {
        self.at_risk
    }

    fn on_wanted(&mut self, now: Now, call: CallId, bill: &Bill, out: &mut Outbox) {
        let is_counted = |cost| cost >= bill.cost;
        if self.state.highest_cost(&bill.key).is_some_and(is_counted) {
            out.raise(Event::BillSafe(call));
            return;
        }
        self.write(now, bill, Some(call), out);
        self.ask(now, out);
    }

    /// Brings a bill on its way to the log.
    fn write(&mut self, now: Now, bill: &Bill, call: Option<CallId>, out: &mut Outbox) {
        let give_up_at = now.instant + self.bill_wait;
        match self.pending.get_mut(&bill.key) {
            Some(known) if known.bill.cost >= bill.cost => {
                if known.is_kept {
                    call.into_iter()
                        .for_each(|call| out.raise(Event::BillSafe(call)));
                    return;
                }
                known.calls.extend(call);
                known.give_up_at = give_up_at;
                return;
            }
            Some(known) => known.raise(bill, call, give_up_at),
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

    /// Asks a peer in another zone to keep what is not safe yet; one question at a time, and not too often.
    fn ask(&mut self, now: Now, out: &mut Outbox) {
        let is_early = self.ask_at.is_some_and(|at| at > now.instant);
        if is_early || self.without.contains(&Mechanism::Keepers) {
            return;
        }
        let mut unkept = self
            .pending
            .values_mut()
            .filter(|it| !it.is_kept)
            .peekable();
        if unkept.peek().is_none() {
            return;
        }
        let Some(keeper) = self.keepers.choose(now.instant) else {
            return;
        };
        unkept.for_each(|pending| pending.keeper = Some(keeper.clone()));
        if self.asked.insert(keeper.clone()) {
            self.ask_at = Some(now.instant + ASK_PERIOD);
            out.raise(Event::Brief { to: keeper });
        }
    }

    fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        let orphans = self.keeper.on_frame(frame, now.instant + KEEP);
        self.adopt(now, &orphans, out);
        for key in &frame.kept {
            let Some(pending) = self.pending.get_mut(key) else {
                // It has come to the log meanwhile.
                let done = self.done.entry(frame.address.clone()).or_default();
                done.push(key.clone());
                continue;
            };
            if pending.keeper.as_ref() == Some(&frame.address) {
                pending.is_kept = true;
                for call in pending.calls.drain(..) {
                    out.raise(Event::BillSafe(call));
                }
            }
        }
        if self.asked.swap_remove(&frame.address) {
            self.ask(now, out);
        }
    }

    fn on_failure(&mut self, now: Now, peer: &Address, out: &mut Outbox) {
        self.asked.swap_remove(peer);
        self.keepers.avoid(peer, now.instant);
        self.ask_at = None;
        self.ask(now, out);
    }

    fn on_members(&mut self, now: Now, view: &Rc<View>, out: &mut Outbox) {
        self.members = Rc::clone(view);
        self.keepers.set(view);
        let lives = |address: &Address| view.members.values().any(|beat| beat.address == *address);
        for pending in self.pending.values_mut() {
            if pending.keeper.as_ref().is_some_and(|keeper| !lives(keeper)) {
                pending.lose_keeper();
            }
        }
        self.asked.retain(lives);
        self.done.retain(|address, _| lives(address));
        let orphans = self.keeper.orphans(view);
        self.adopt(now, &orphans, out);
        self.ask(now, out);
    }

    /// Appends bills of others, as if they were this entry's own.
    fn adopt(&mut self, now: Now, orphans: &[Bill], out: &mut Outbox) {
        for bill in orphans {
            self.write(now, bill, None, out);
        }
    }

    /// A bill is on the log: those whose answers wait for it, or who keep it, are told.
    fn on_log(&mut self, bill: &Bill, out: &mut Outbox) {
        self.keeper.on_log(bill);
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
        if let Some(keeper) = pending.keeper {
            self.done.entry(keeper).or_default().push(bill.key.clone());
        }
    }

    fn on_page(&mut self, now: Now, page: &Page, out: &mut Outbox) {
        self.state.begin_page(page);
        for entry in &page.entries {
            if self.state.feed(entry)
                && let Some(Record::Bill(bill)) = &entry.record
            {
                out.note(Note::new(&note::BILL_DOUBLED).with("request", &bill.key.request));
            }
            match &entry.record {
                Some(Record::Bill(bill)) => self.on_log(bill, out),
                Some(Record::Totals { .. }) => {
                    let age = now.system.duration_since(entry.at).unwrap_or_default();
                    self.totals_at = Some(self.totals_due(now, age));
                }
                _ => {}
            }
        }
    }

    /// When this entry is to write totals, with the newest ones of a given age.
    fn totals_due(&self, now: Now, age: Duration) -> Instant {
        let rank = self.members.members.get_index_of(&self.entry).unwrap_or(0) as u32;
        let period = self.horizon / TOTALS_PER_HORIZON;
        now.instant + period.saturating_sub(age) + TOTALS_STEP * rank
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
        let overdue = self.keeper.overdue(now.instant);
        self.adopt(now, &overdue, out);
        self.ask(now, out);
        self.write_totals(now, out);
    }

    fn write_totals(&mut self, now: Now, out: &mut Outbox) {
        let due = self.totals_due(now, Duration::ZERO);
        let is_off = self.without.contains(&Mechanism::Totals);
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
            Event::BillWanted { call, bill } => self.on_wanted(now, *call, bill, out),
            Event::Read(page) if page.stream == Stream::Ledger => self.on_page(now, page, out),
            Event::Written { stream, records } if *stream == Stream::Ledger => {
                for record in records {
                    if let Record::Bill(bill) = &**record {
                        self.on_log(bill, out);
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
        let asked = |pending: &&Pending| !pending.is_kept && pending.keeper.as_ref() == Some(to);
        let unkept = self.pending.values().filter(asked).take(FRAME_BILLS);
        frame.keep = unkept.map(|pending| pending.bill.clone()).collect();
        frame.kept = self.keeper.acks(to);
        frame.done = self.done.swap_remove(to).unwrap_or_default();
    }
}
