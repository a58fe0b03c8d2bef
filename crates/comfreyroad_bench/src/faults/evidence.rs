use comfreyroad_fakes::load::{Kind, Verdict};

use super::Check;
use crate::journal::Journals;
use crate::ledger::Bills;
use crate::trace::{Line, Trace};

/// Minimum share of requests that must be answered, so that a system that serves nothing does not pass.
const MIN_SERVED_SHARE: f64 = 0.5;

/// Maximum number of requests listed in the details of a check.
const MAX_SHOWN_REQUESTS: usize = 3;

/// Trace, journals and bills of one run.
pub struct Evidence {
    /// Results as callers see them.
    pub trace: Trace,
    /// Work that the upstreams executed.
    pub journals: Journals,
    /// Bills on the log.
    pub bills: Bills,
}

impl Evidence {
    /// Checks of the guarantees that hold during any fault.
    #[must_use]
    pub fn common_checks(&self) -> Vec<Check> {
        vec![
            self.served(),
            self.whole_answers(),
            self.refused_not_run(),
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
        let details = format!(
            "{whole} of {all} whole, {} refused as not run, {} as maybe run; refusals: {}",
            count(Verdict::RefusedNotRun),
            count(Verdict::RefusedMaybe),
            self.trace.refusal_counts()
        );
        Check::new(
            "at least half of the requests are answered",
            whole as f64 >= MIN_SERVED_SHARE * all as f64,
            details,
        )
    }

    fn whole_answers(&self) -> Check {
        let bad = self.lines(|line| matches!(line.verdict, Verdict::Wrong | Verdict::Broken));
        let wrong = bad
            .iter()
            .filter(|line| line.verdict == Verdict::Wrong)
            .count();
        let mut details = format!("{wrong} wrong, {} broken", bad.len() - wrong);
        for line in bad.iter().take(MAX_SHOWN_REQUESTS) {
            details += &format!(
                ", {} at {} ms sent {}x {:?}",
                line.id, line.at_ms, line.sent, line.codes
            );
        }
        Check::new(
            "a caller gets the whole answer to its own request",
            bad.is_empty(),
            details,
        )
    }

    /// Checks only chats that were sent once: a retried chat may have been executed by an earlier attempt.
    fn refused_not_run(&self) -> Check {
        let refused = self.lines(|line| line.verdict == Verdict::RefusedNotRun);
        let ran = |line: &&&Line| match line.kind {
            Kind::Booking => self.journals.has_booked(&line.id),
            Kind::Draft | Kind::Whole => line.sent == 1 && self.journals.has_run(&line.id),
            Kind::Lookup => false,
        };
        let executed = refused.iter().filter(ran).count();
        let details = format!("{executed} of {} ran", refused.len());
        Check::new(
            "a request refused as not run was not executed",
            executed == 0,
            details,
        )
    }

    fn at_most_once(&self) -> Check {
        let duplicates = self.journals.duplicate_bookings();
        let bookings = self.lines(|line| line.kind == Kind::Booking).len();
        let unidentified: u64 = self
            .journals
            .by_vm
            .values()
            .map(|journal| journal.unidentified)
            .sum();
        let mut details = format!(
            "{} of {bookings} bookings doubled, {unidentified} calls without a request id",
            duplicates.len()
        );
        if !duplicates.is_empty() {
            details += &format!(": {duplicates:?}");
        }
        Check::new(
            "what may not be repeated runs at most once",
            duplicates.is_empty(),
            details,
        )
    }

    fn billed_once(&self) -> Check {
        let whole = self.lines(|line| line.verdict == Verdict::Whole);
        let unbilled = whole
            .iter()
            .filter(|line| !self.bills.request_ids.contains(&line.id))
            .count();
        let details = format!(
            "{unbilled} of {} whole answers not billed, {} duplicate bills, counted once",
            whole.len(),
            self.bills.duplicates
        );
        let has_no_double_count = self.bills.requests == self.bills.request_ids.len() as u64;
        Check::new(
            "each request is billed once",
            unbilled == 0 && has_no_double_count,
            details,
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
        let crashed = self
            .journals
            .by_vm
            .values()
            .filter(|journal| journal.crashes > 0);
        let crashed: Vec<_> = crashed
            .map(|journal| format!("{} {}x", journal.id, journal.crashes))
            .collect();
        Check::new(
            "a cold upstream is not overloaded",
            crashed.is_empty(),
            format!(
                "crashed: {}",
                if crashed.is_empty() {
                    "none".to_owned()
                } else {
                    crashed.join(", ")
                }
            ),
        )
    }

    /// The requests that match a predicate.
    pub fn lines(&self, matches: impl Fn(&Line) -> bool) -> Vec<&Line> {
        self.trace
            .lines
            .iter()
            .filter(|line| matches(line))
            .collect()
    }
}
