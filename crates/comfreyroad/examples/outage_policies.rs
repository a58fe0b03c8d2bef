//! Compares policies for bookings during a log outage in a small simulation that has global knowledge.
//!
//! `cargo run --release -p comfreyroad --example outage_policies [SEED]` prints the outcomes of the
//! bookings created during an outage of one minute, for each policy and fault. The router implements only the first
//! policy.

use std::time::Duration;

use fastrand::Rng;

const ENTRIES: usize = 6;
const BOOKINGS: u32 = 10_000;
/// Start and end of the outage, in milliseconds.
const OUTAGE: std::ops::Range<u64> = 30_000..90_000;
/// Run time of a booking, in milliseconds.
const RUN_TIME: u64 = 50;
/// Time after which a caller considers an attempt failed, in milliseconds.
const TIMEOUT: u64 = 2_000;
/// Time that an entry allows for a request, in milliseconds.
const DEADLINE: u64 = 6_000;
/// Time for which a caller retries, in milliseconds.
const RETRY_PERIOD: u64 = 12_000;
/// Time until entries detect the failure of another entry, in milliseconds.
const DETECTION_TIME: u64 = 3_000;
/// Start and end of the fault, in milliseconds.
const FAULT: std::ops::Range<u64> = 55_000..63_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Refuse,
    FirstAttempts,
    HomeEntry,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Kill,
    Pause,
    Partition,
    LostAnswers,
    Duplicates,
    Unmarked,
    All,
}

/// The reply to a caller.
#[derive(Clone, Copy, PartialEq)]
enum Reply {
    Answer,
    No,
    Maybe,
    Nothing,
}

/// The state of one booking.
#[derive(Default)]
struct Booking {
    created_at: u64,
    hash: u64,
    runs: u32,
    // The claim on the log, if any, and whether the answer is recorded with it.
    claimed: Option<bool>,
    // The claim in the memory of each home entry, if any, and whether the answer is recorded with it.
    homes: [Option<bool>; ENTRIES],
}

#[derive(Default)]
struct Tally {
    answered: u32,
    late: u32,
    lost: u32,
    unclear: u32,
    doubled: u32,
}

struct Model {
    policy: Policy,
    fault: Fault,
    rng: Rng,
}

impl Model {
    fn has(&self, fault: Fault) -> bool {
        self.fault == fault || self.fault == Fault::All
    }

    /// Returns whether an entry is killed. Faults affect fixed entries: 0 is killed, 1 is paused, and 4 and 5 are
    /// partitioned from the others.
    fn is_down(&self, entry: usize, at: u64) -> bool {
        self.has(Fault::Kill) && entry == 0 && FAULT.contains(&at)
    }

    fn resumes_at(&self, entry: usize, at: u64) -> u64 {
        let is_paused = self.has(Fault::Pause) && entry == 1 && FAULT.contains(&at);
        if is_paused { FAULT.end } else { at }
    }

    fn is_cut_off(&self, entry: usize, at: u64) -> bool {
        self.has(Fault::Partition) && entry >= 4 && FAULT.contains(&at)
    }

    /// Returns whether an entry considers another one alive.
    fn considers_alive(&self, entry: usize, other: usize, at: u64) -> bool {
        let before = at.saturating_sub(DETECTION_TIME).max(FAULT.start);
        let is_gone = self.is_down(other, at) && self.is_down(other, before);
        let is_paused = self.resumes_at(other, at) > at && self.resumes_at(other, before) > before;
        let is_cut = self.is_cut_off(entry, at) != self.is_cut_off(other, at)
            && self.is_cut_off(entry, before) != self.is_cut_off(other, before);
        let noticed = at >= FAULT.start + DETECTION_TIME;
        entry == other || !(noticed && (is_gone || is_paused || is_cut))
    }

    fn home_entry(&self, booking: &Booking, entry: usize, at: u64) -> usize {
        let seen = (0..ENTRIES).filter(|other| self.considers_alive(entry, *other, at));
        let weight = |other: &usize| booking.hash.rotate_left(*other as u32 * 7) % 9_973;
        seen.max_by_key(weight).unwrap_or(entry)
    }

    fn run(&mut self, booking: &mut Booking, entry: usize, at: u64) -> Reply {
        booking.runs += 1;
        if self.is_down(entry, at + RUN_TIME) {
            return Reply::Nothing;
        }
        if self.has(Fault::LostAnswers) && self.rng.u32(..100) < 3 {
            return Reply::Nothing;
        }
        Reply::Answer
    }

    fn reply_from_record(known: bool) -> Reply {
        if known { Reply::Answer } else { Reply::Maybe }
    }

    /// Handles an attempt at an entry.
    fn decide(&mut self, booking: &mut Booking, entry: usize, at: u64, attempt: u32) -> Reply {
        if !OUTAGE.contains(&at) {
            return self.decide_by_log(booking, entry, at, attempt);
        }
        match self.policy {
            Policy::Refuse if attempt > 1 => Reply::Maybe,
            Policy::Refuse => Reply::No,
            Policy::FirstAttempts if attempt > 1 => Reply::Maybe,
            Policy::FirstAttempts => {
                let reply = self.run(booking, entry, at);
                // Written to the log after the outage, if the entry is still alive.
                booking.claimed.get_or_insert(reply != Reply::Nothing);
                reply
            }
            Policy::HomeEntry => {
                let home = self.home_entry(booking, entry, at);
                let is_cut = self.is_cut_off(entry, at) != self.is_cut_off(home, at);
                if self.is_down(home, at) || self.resumes_at(home, at) > at || is_cut {
                    return Reply::No;
                }
                if let Some(known) = booking.homes[home] {
                    return Self::reply_from_record(known);
                }
                let reply = self.run(booking, home, at);
                let is_lost = self.is_down(home, at + RUN_TIME);
                booking.homes[home] = (!is_lost).then_some(true);
                booking.claimed.get_or_insert(!is_lost);
                reply
            }
        }
    }

    fn decide_by_log(
        &mut self,
        booking: &mut Booking,
        entry: usize,
        at: u64,
        attempt: u32,
    ) -> Reply {
        if let Some(known) = booking.claimed {
            return Self::reply_from_record(known);
        }
        let is_created_in_outage = OUTAGE.contains(&booking.created_at);
        if self.policy == Policy::FirstAttempts && is_created_in_outage && attempt > 1 {
            return Reply::Maybe;
        }
        let reply = self.run(booking, entry, at);
        booking.claimed = Some(!self.is_down(entry, at + RUN_TIME));
        reply
    }

    fn attempt(
        &mut self,
        booking: &mut Booking,
        entry: usize,
        at: u64,
        attempt: u32,
    ) -> (Reply, u64) {
        if self.is_down(entry, at) {
            return (Reply::Nothing, at);
        }
        let resumed_at = self.resumes_at(entry, at);
        if resumed_at < at + DEADLINE {
            let reply = self.decide(booking, entry, resumed_at, attempt);
            if resumed_at < at + TIMEOUT {
                return (reply, resumed_at + RUN_TIME);
            }
        }
        (Reply::Nothing, at + TIMEOUT)
    }

    /// Simulates one booking: its caller retries until it gets an answer or gives up after `RETRY_PERIOD`.
    fn simulate_booking(&mut self, tally: &mut Tally) {
        let mut booking = Booking {
            created_at: self.rng.u64(OUTAGE),
            hash: self.rng.u64(..),
            ..Booking::default()
        };
        let is_marked = !self.has(Fault::Unmarked) || self.rng.u32(..100) >= 10;
        let (mut at, mut reply) = (booking.created_at, Reply::Nothing);
        for attempt in 1.. {
            let entry = self.rng.usize(..ENTRIES);
            let named = if is_marked { attempt } else { 1 };
            let (first, ended) = self.attempt(&mut booking, entry, at, named);
            reply = first;
            if self.has(Fault::Duplicates) && self.rng.u32(..100) < 2 {
                let other = (entry + 1) % ENTRIES;
                self.attempt(&mut booking, other, at + 1, named);
            }
            at = ended + 500 * u64::from(attempt);
            if reply == Reply::Answer || at > booking.created_at + RETRY_PERIOD {
                break;
            }
        }
        tally.answered += u32::from(reply == Reply::Answer);
        tally.late += u32::from(reply == Reply::Answer && at > booking.created_at + TIMEOUT + 500);
        tally.lost += u32::from(booking.runs == 0);
        tally.unclear += u32::from(booking.runs > 0 && reply != Reply::Answer);
        tally.doubled += u32::from(booking.runs > 1);
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(20_261_204);
    let outage = Duration::from_millis(OUTAGE.end - OUTAGE.start);
    println!("seed {seed}, {BOOKINGS} bookings born in an outage of {outage:?}, {ENTRIES} entries");
    println!(
        "{:14} {:12} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "policy", "fault", "answered", "of it late", "not run", "unclear", "doubled"
    );
    for policy in [Policy::Refuse, Policy::FirstAttempts, Policy::HomeEntry] {
        for fault in [
            Fault::None,
            Fault::Kill,
            Fault::Pause,
            Fault::Partition,
            Fault::LostAnswers,
            Fault::Duplicates,
            Fault::Unmarked,
            Fault::All,
        ] {
            let rng = Rng::with_seed(seed);
            let mut model = Model { policy, fault, rng };
            let mut tally = Tally::default();
            (0..BOOKINGS).for_each(|_| model.simulate_booking(&mut tally));
            println!(
                "{:14} {:12} {:>9} {:>9} {:>9} {:>9} {:>9}",
                format!("{policy:?}"),
                format!("{fault:?}"),
                tally.answered,
                tally.late,
                tally.lost,
                tally.unclear,
                tally.doubled
            );
        }
    }
}
