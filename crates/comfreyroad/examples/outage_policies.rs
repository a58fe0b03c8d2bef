//! Weighs what to do with bookings while the log is down, by a small model with global knowledge.
//!
//! `cargo run --release -p comfreyroad --example outage_policies [SEED]` prints, for each policy and fault, how many of
//! the bookings born in an outage of a minute ended how. Only the first policy is built into the program.

use std::time::Duration;

use fastrand::Rng;

const ENTRIES: usize = 6;
const BOOKINGS: u32 = 10_000;
/// The outage, in milliseconds.
const OUTAGE: std::ops::Range<u64> = 30_000..90_000;
/// Time that a booking runs.
const RUN: u64 = 50;
/// Time after which a caller takes an attempt for failed.
const TIMEOUT: u64 = 2_000;
/// Time that an entry allows a request.
const DEADLINE: u64 = 6_000;
/// Time for which a caller tries again.
const PATIENCE: u64 = 12_000;
/// Time until entries notice that one of them is gone.
const NOTICE: u64 = 3_000;
/// When a fault strikes, and how long it lasts.
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

/// What a caller is told.
#[derive(Clone, Copy, PartialEq)]
enum Told {
    Answer,
    No,
    Maybe,
    Nothing,
}

/// What is known of one booking, by whom, and what became of it.
#[derive(Default)]
struct Booking {
    born: u64,
    hash: u64,
    runs: u32,
    // On the log: whether the answer is known there.
    claimed: Option<bool>,
    // In the memory of its home entries: whether the answer is known there.
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

    /// Entry 0 is killed, entry 1 is paused, entries 4 and 5 are cut from the others.
    fn is_down(&self, entry: usize, at: u64) -> bool {
        self.has(Fault::Kill) && entry == 0 && FAULT.contains(&at)
    }

    fn wakes_at(&self, entry: usize, at: u64) -> u64 {
        let is_paused = self.has(Fault::Pause) && entry == 1 && FAULT.contains(&at);
        if is_paused { FAULT.end } else { at }
    }

    fn side(&self, entry: usize, at: u64) -> bool {
        self.has(Fault::Partition) && entry >= 4 && FAULT.contains(&at)
    }

    /// Whether an entry takes another one for alive.
    fn sees(&self, entry: usize, other: usize, at: u64) -> bool {
        let before = at.saturating_sub(NOTICE).max(FAULT.start);
        let is_gone = self.is_down(other, at) && self.is_down(other, before);
        let is_paused = self.wakes_at(other, at) > at && self.wakes_at(other, before) > before;
        let is_cut = self.side(entry, at) != self.side(other, at)
            && self.side(entry, before) != self.side(other, before);
        let noticed = at >= FAULT.start + NOTICE;
        entry == other || !(noticed && (is_gone || is_paused || is_cut))
    }

    fn home(&self, booking: &Booking, entry: usize, at: u64) -> usize {
        let seen = (0..ENTRIES).filter(|other| self.sees(entry, *other, at));
        let weight = |other: &usize| booking.hash.rotate_left(*other as u32 * 7) % 9_973;
        seen.max_by_key(weight).unwrap_or(entry)
    }

    fn run(&mut self, booking: &mut Booking, entry: usize, at: u64) -> Told {
        booking.runs += 1;
        if self.is_down(entry, at + RUN) {
            return Told::Nothing;
        }
        if self.has(Fault::LostAnswers) && self.rng.u32(..100) < 3 {
            return Told::Nothing;
        }
        Told::Answer
    }

    fn repeat(known: bool) -> Told {
        if known { Told::Answer } else { Told::Maybe }
    }

    /// What an entry does with an attempt.
    fn decide(&mut self, booking: &mut Booking, entry: usize, at: u64, attempt: u32) -> Told {
        if !OUTAGE.contains(&at) {
            return self.by_log(booking, entry, at, attempt);
        }
        match self.policy {
            Policy::Refuse if attempt > 1 => Told::Maybe,
            Policy::Refuse => Told::No,
            Policy::FirstAttempts if attempt > 1 => Told::Maybe,
            Policy::FirstAttempts => {
                let told = self.run(booking, entry, at);
                // Written to the log when that is back, if the entry still lives.
                booking.claimed.get_or_insert(told != Told::Nothing);
                told
            }
            Policy::HomeEntry => {
                let home = self.home(booking, entry, at);
                let is_cut = self.side(entry, at) != self.side(home, at);
                if self.is_down(home, at) || self.wakes_at(home, at) > at || is_cut {
                    return Told::No;
                }
                if let Some(known) = booking.homes[home] {
                    return Self::repeat(known);
                }
                let told = self.run(booking, home, at);
                let is_lost = self.is_down(home, at + RUN);
                booking.homes[home] = (!is_lost).then_some(true);
                booking.claimed.get_or_insert(!is_lost);
                told
            }
        }
    }

    fn by_log(&mut self, booking: &mut Booking, entry: usize, at: u64, attempt: u32) -> Told {
        if let Some(known) = booking.claimed {
            return Self::repeat(known);
        }
        let is_born_in_outage = OUTAGE.contains(&booking.born);
        if self.policy == Policy::FirstAttempts && is_born_in_outage && attempt > 1 {
            return Told::Maybe;
        }
        let told = self.run(booking, entry, at);
        booking.claimed = Some(!self.is_down(entry, at + RUN));
        told
    }

    fn attempt(
        &mut self,
        booking: &mut Booking,
        entry: usize,
        at: u64,
        attempt: u32,
    ) -> (Told, u64) {
        if self.is_down(entry, at) {
            return (Told::Nothing, at);
        }
        let wakes = self.wakes_at(entry, at);
        if wakes < at + DEADLINE {
            let told = self.decide(booking, entry, wakes, attempt);
            if wakes < at + TIMEOUT {
                return (told, wakes + RUN);
            }
        }
        (Told::Nothing, at + TIMEOUT)
    }

    /// A caller tries until it is answered or out of patience.
    fn follow(&mut self, tally: &mut Tally) {
        let mut booking = Booking {
            born: self.rng.u64(OUTAGE),
            hash: self.rng.u64(..),
            ..Booking::default()
        };
        let is_marked = !self.has(Fault::Unmarked) || self.rng.u32(..100) >= 10;
        let (mut at, mut told) = (booking.born, Told::Nothing);
        for attempt in 1.. {
            let entry = self.rng.usize(..ENTRIES);
            let named = if is_marked { attempt } else { 1 };
            let (first, ended) = self.attempt(&mut booking, entry, at, named);
            told = first;
            if self.has(Fault::Duplicates) && self.rng.u32(..100) < 2 {
                let other = (entry + 1) % ENTRIES;
                self.attempt(&mut booking, other, at + 1, named);
            }
            at = ended + 500 * u64::from(attempt);
            if told == Told::Answer || at > booking.born + PATIENCE {
                break;
            }
        }
        tally.answered += u32::from(told == Told::Answer);
        tally.late += u32::from(told == Told::Answer && at > booking.born + TIMEOUT + 500);
        tally.lost += u32::from(booking.runs == 0);
        tally.unclear += u32::from(booking.runs > 0 && told != Told::Answer);
        tally.doubled += u32::from(booking.runs > 1);
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|word| word.parse().ok());
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
            (0..BOOKINGS).for_each(|_| model.follow(&mut tally));
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
