//! Compares policies for bookings during a log outage in a small simulation that has global knowledge.
//!
//! `cargo run --release -p comfreyroad --example outage_policies [SEED]` prints the outcomes of the bookings
//! created during an outage of one minute, for each policy and fault. The router implements only the first policy.

use std::time::Duration;

use fastrand::Rng;

const ENTRIES: usize = 6;
const BOOKINGS: u32 = 10_000;
/// Start and end of the outage, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 30_000..90_000;
/// Run time of a booking, in milliseconds.
const RUN_TIME_MS: u64 = 50;
/// Time after which a caller considers an attempt failed, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;
/// Time that an entry allows for a request, in milliseconds.
const DEADLINE_MS: u64 = 6_000;
/// Time for which a caller retries, in milliseconds.
const RETRY_PERIOD_MS: u64 = 12_000;
/// Time until entries detect the failure of another entry, in milliseconds.
const DETECTION_TIME_MS: u64 = 3_000;
/// Start and end of the fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 55_000..63_000;

/// How an entry handles bookings while the log is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Refuses all bookings.
    Refuse,
    /// Runs first attempts without a claim on the log.
    FirstAttempts,
    /// Runs a booking at the entry chosen by its hash, which keeps the claim in memory.
    HomeEntry,
}

/// Faults injected during the outage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Kill,
    Pause,
    Partition,
    LostAnswers,
    Duplicates,
    /// A tenth of the callers do not mark repeated attempts.
    Unmarked,
    All,
}

/// The reply to a caller.
#[derive(Clone, Copy, PartialEq)]
enum Reply {
    Answer,
    Refusal,
    /// The booking may have run.
    Unclear,
    /// No reply arrives.
    Missing,
}

/// The state of one booking.
#[derive(Default)]
struct Booking {
    created_at: u64,
    hash: u64,
    runs: u32,
    // The claim on the log, if any, and whether the answer is recorded with it.
    log_claim: Option<bool>,
    // The claim in the memory of each home entry, if any, and whether the answer is recorded with it.
    home_claims: [Option<bool>; ENTRIES],
}

/// Number of bookings by outcome.
#[derive(Default)]
struct Tally {
    answered: u32,
    late: u32,
    not_run: u32,
    unclear: u32,
    doubled: u32,
}

struct Simulation {
    policy: Policy,
    fault: Fault,
    rng: Rng,
}

impl Simulation {
    fn has_fault(&self, fault: Fault) -> bool {
        self.fault == fault || self.fault == Fault::All
    }

    /// Returns whether an entry is killed. Faults affect fixed entries: 0 is killed, 1 is paused, and 4 and 5 are
    /// partitioned from the others.
    fn is_killed(&self, entry: usize, at: u64) -> bool {
        self.has_fault(Fault::Kill) && entry == 0 && FAULT_MS.contains(&at)
    }

    fn resumes_at(&self, entry: usize, at: u64) -> u64 {
        let is_paused = self.has_fault(Fault::Pause) && entry == 1 && FAULT_MS.contains(&at);
        if is_paused { FAULT_MS.end } else { at }
    }

    fn is_cut_off(&self, entry: usize, at: u64) -> bool {
        self.has_fault(Fault::Partition) && entry >= 4 && FAULT_MS.contains(&at)
    }

    /// Returns whether an entry considers another one alive.
    fn considers_alive(&self, entry: usize, other: usize, at: u64) -> bool {
        let before = at.saturating_sub(DETECTION_TIME_MS).max(FAULT_MS.start);
        let is_dead = self.is_killed(other, at) && self.is_killed(other, before);
        let is_paused = self.resumes_at(other, at) > at && self.resumes_at(other, before) > before;
        let is_cut = self.is_cut_off(entry, at) != self.is_cut_off(other, at)
            && self.is_cut_off(entry, before) != self.is_cut_off(other, before);
        let is_detected = at >= FAULT_MS.start + DETECTION_TIME_MS;
        entry == other || !(is_detected && (is_dead || is_paused || is_cut))
    }

    fn home_entry(&self, booking: &Booking, entry: usize, at: u64) -> usize {
        let alive = (0..ENTRIES).filter(|other| self.considers_alive(entry, *other, at));
        let weight = |other: &usize| booking.hash.rotate_left(*other as u32 * 7) % 9_973;
        alive.max_by_key(weight).unwrap_or(entry)
    }

    fn run(&mut self, booking: &mut Booking, entry: usize, at: u64) -> Reply {
        booking.runs += 1;
        if self.is_killed(entry, at + RUN_TIME_MS) {
            return Reply::Missing;
        }
        if self.has_fault(Fault::LostAnswers) && self.rng.u32(..100) < 3 {
            return Reply::Missing;
        }
        Reply::Answer
    }

    fn reply_from_record(has_answer: bool) -> Reply {
        if has_answer {
            Reply::Answer
        } else {
            Reply::Unclear
        }
    }

    /// Handles an attempt at an entry.
    fn decide(&mut self, booking: &mut Booking, entry: usize, at: u64, attempt: u32) -> Reply {
        if !OUTAGE_MS.contains(&at) {
            return self.decide_by_log(booking, entry, at, attempt);
        }
        match self.policy {
            Policy::Refuse if attempt > 1 => Reply::Unclear,
            Policy::Refuse => Reply::Refusal,
            Policy::FirstAttempts if attempt > 1 => Reply::Unclear,
            Policy::FirstAttempts => {
                let reply = self.run(booking, entry, at);
                // Written to the log after the outage, if the entry is still alive.
                booking.log_claim.get_or_insert(reply != Reply::Missing);
                reply
            }
            Policy::HomeEntry => {
                let home = self.home_entry(booking, entry, at);
                let is_cut = self.is_cut_off(entry, at) != self.is_cut_off(home, at);
                if self.is_killed(home, at) || self.resumes_at(home, at) > at || is_cut {
                    return Reply::Refusal;
                }
                if let Some(has_answer) = booking.home_claims[home] {
                    return Self::reply_from_record(has_answer);
                }
                let reply = self.run(booking, home, at);
                let is_lost = self.is_killed(home, at + RUN_TIME_MS);
                booking.home_claims[home] = (!is_lost).then_some(true);
                booking.log_claim.get_or_insert(!is_lost);
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
        if let Some(has_answer) = booking.log_claim {
            return Self::reply_from_record(has_answer);
        }
        let is_created_in_outage = OUTAGE_MS.contains(&booking.created_at);
        if self.policy == Policy::FirstAttempts && is_created_in_outage && attempt > 1 {
            return Reply::Unclear;
        }
        let reply = self.run(booking, entry, at);
        booking.log_claim = Some(!self.is_killed(entry, at + RUN_TIME_MS));
        reply
    }

    fn attempt(
        &mut self,
        booking: &mut Booking,
        entry: usize,
        at: u64,
        attempt: u32,
    ) -> (Reply, u64) {
        if self.is_killed(entry, at) {
            return (Reply::Missing, at);
        }
        let resumed_at = self.resumes_at(entry, at);
        if resumed_at < at + DEADLINE_MS {
            let reply = self.decide(booking, entry, resumed_at, attempt);
            if resumed_at < at + TIMEOUT_MS {
                return (reply, resumed_at + RUN_TIME_MS);
            }
        }
        (Reply::Missing, at + TIMEOUT_MS)
    }

    /// Simulates one booking: its caller retries until it gets an answer or gives up after `RETRY_PERIOD_MS`.
    fn simulate_booking(&mut self, tally: &mut Tally) {
        let mut booking = Booking {
            created_at: self.rng.u64(OUTAGE_MS),
            hash: self.rng.u64(..),
            ..Booking::default()
        };
        let marks_attempts = !self.has_fault(Fault::Unmarked) || self.rng.u32(..100) >= 10;
        let (mut at, mut reply) = (booking.created_at, Reply::Missing);
        for attempt in 1.. {
            let entry = self.rng.usize(..ENTRIES);
            let marked_attempt = if marks_attempts { attempt } else { 1 };
            let (attempt_reply, ended_at) = self.attempt(&mut booking, entry, at, marked_attempt);
            reply = attempt_reply;
            if self.has_fault(Fault::Duplicates) && self.rng.u32(..100) < 2 {
                let other = (entry + 1) % ENTRIES;
                self.attempt(&mut booking, other, at + 1, marked_attempt);
            }
            at = ended_at + 500 * u64::from(attempt);
            if reply == Reply::Answer || at > booking.created_at + RETRY_PERIOD_MS {
                break;
            }
        }
        tally.answered += u32::from(reply == Reply::Answer);
        tally.late +=
            u32::from(reply == Reply::Answer && at > booking.created_at + TIMEOUT_MS + 500);
        tally.not_run += u32::from(booking.runs == 0);
        tally.unclear += u32::from(booking.runs > 0 && reply != Reply::Answer);
        tally.doubled += u32::from(booking.runs > 1);
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(20_261_204);
    let outage = Duration::from_millis(OUTAGE_MS.end - OUTAGE_MS.start);
    println!(
        "seed {seed}, {BOOKINGS} bookings created during an outage of {outage:?}, {ENTRIES} entries"
    );
    println!(
        "{:14} {:12} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "policy", "fault", "answered", "late", "not run", "unclear", "doubled"
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
            let mut simulation = Simulation { policy, fault, rng };
            let mut tally = Tally::default();
            (0..BOOKINGS).for_each(|_| simulation.simulate_booking(&mut tally));
            println!(
                "{:14} {:12} {:>9} {:>9} {:>9} {:>9} {:>9}",
                format!("{policy:?}"),
                format!("{fault:?}"),
                tally.answered,
                tally.late,
                tally.not_run,
                tally.unclear,
                tally.doubled
            );
        }
    }
}
