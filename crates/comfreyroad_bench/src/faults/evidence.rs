use comfreyroad_fakes::load::{Kind, Verdict};

use super::Check;
use crate::journal::Journals;
use crate::ledger::Bills;
use crate::trace::{Line, Trace};

/// Part of the requests that have to be answered, so that no promise is kept by doing nothing.
const SERVED: f64 = 0.5;

/// Requests that a check names at most.
const SHOWN: usize = 3;

/// What callers, upstreams and the ledger say of one run.
pub struct Evidence {
    /// What callers got.
    pub trace: Trace,
    /// What upstreams executed.
    pub journals: Journals,
    /// What was billed.
    pub bills: Bills,
}

impl Evidence {
    /// The promises that hold through any fault.
    #[must_use]
    pub fn usual(&self) -> Vec<Check> {
        vec![
            self.served(),
            self.whole(),
            self.not_run(),
            self.at_most_once(),
            self.billed_once(),
            self.kept_version(),
            self.not_overloaded(),
        ]
    }

    fn served(&self) -> Check {
        let all = self.trace.lines.len() as u64;
        let count = |verdict| self.trace.count(verdict);
        let whole = count(Verdict::Whole);
        let figures = format!(
            "{whole} of {all} whole, {} refused as not run, {} as maybe run; refusals: {}",
            count(Verdict::RefusedNotRun),
            count(Verdict::RefusedMaybe),
            self.trace.refusals()
        );
        Check::new("work goes on", whole as f64 >= SERVED * all as f64, figures)
    }

    fn whole(&self) -> Check {
        let bad = self.lines(|line| matches!(line.verdict, Verdict::Wrong | Verdict::Broken));
        let wrong = bad
            .iter()
            .filter(|line| line.verdict == Verdict::Wrong)
            .count();
        let mut figures = format!("{wrong} wrong, {} broken", bad.len() - wrong);
        for line in bad.iter().take(SHOWN) {
            figures += &format!(
                ", {} at {} ms sent {}x {:?}",
                line.id, line.at_ms, line.sent, line.codes
            );
        }
        Check::new(
            "a caller gets the whole answer to its own request",
            bad.is_empty(),
            figures,
        )
    }

    /// A chat sent again may have run at its first sending, so only those sent once are looked at.
    fn not_run(&self) -> Check {
        let refused = self.lines(|line| line.verdict == Verdict::RefusedNotRun);
        let ran = |line: &&&Line| match line.kind {
            Kind::Booking => self.journals.has_booked(&line.id),
            Kind::Draft | Kind::Whole => line.sent == 1 && self.journals.has_run(&line.id),
            Kind::Lookup => false,
        };
        let lies = refused.iter().filter(ran).count();
        let figures = format!("{lies} of {} ran", refused.len());
        Check::new("a refusal that says not run is true", lies == 0, figures)
    }

    fn at_most_once(&self) -> Check {
        let doubled = self.journals.doubled();
        let bookings = self.lines(|line| line.kind == Kind::Booking).len();
        let strays: u64 = self
            .journals
            .journals
            .values()
            .map(|journal| journal.strays)
            .sum();
        let mut figures = format!(
            "{} of {bookings} bookings doubled, {strays} calls without a request's name",
            doubled.len()
        );
        if !doubled.is_empty() {
            figures += &format!(": {doubled:?}");
        }
        Check::new(
            "what may not be repeated runs at most once",
            doubled.is_empty(),
            figures,
        )
    }

    fn billed_once(&self) -> Check {
        let whole = self.lines(|line| line.verdict == Verdict::Whole);
        let unbilled = whole
            .iter()
            .filter(|line| !self.bills.keys.contains(&line.id))
            .count();
        let figures = format!(
            "{unbilled} of {} whole answers not billed, {} bills stand twice and count once",
            whole.len(),
            self.bills.doubles
        );
        let counts_once = self.bills.requests == self.bills.keys.len() as u64;
        Check::new(
            "each request is billed once",
            unbilled == 0 && counts_once,
            figures,
        )
    }

    fn kept_version(&self) -> Check {
        let moved = self.lines(|line| line.moved).len();
        Check::new(
            "a session keeps its version",
            moved == 0,
            format!("{moved} moved"),
        )
    }

    fn not_overloaded(&self) -> Check {
        let fell = self
            .journals
            .journals
            .values()
            .filter(|journal| journal.falls > 0);
        let fell: Vec<_> = fell
            .map(|journal| format!("{} {}x", journal.id, journal.falls))
            .collect();
        Check::new(
            "an upstream that has just started gets no more than it bears",
            fell.is_empty(),
            format!(
                "fell over: {}",
                if fell.is_empty() {
                    "none".to_owned()
                } else {
                    fell.join(", ")
                }
            ),
        )
    }

    /// The requests of which something holds.
    pub fn lines(&self, holds: impl Fn(&Line) -> bool) -> Vec<&Line> {
        self.trace.lines.iter().filter(|line| holds(line)).collect()
    }
}
