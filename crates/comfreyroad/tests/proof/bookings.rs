//! Outcomes of the bookings of a run, over all attempts of each booking.

use std::fmt;
use std::iter::Sum;

use comfreyroad::id::RequestId;
use indexmap::IndexSet;

use crate::bench::{Bench, Operation};

/// Number of bookings by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bookings {
    /// A caller received the answer.
    pub(crate) answered: usize,
    /// The booking never ran.
    pub(crate) not_run: usize,
    /// The booking ran, but no caller received the answer.
    pub(crate) unclear: usize,
}

impl Bookings {
    pub(crate) fn count(bench: &Bench) -> Self {
        let booked = bench
            .calls
            .iter()
            .filter(|call| call.spec.operation == Operation::Book);
        let answered: IndexSet<&RequestId> = booked
            .clone()
            .filter(|call| call.is_answered())
            .map(|call| &call.spec.id)
            .collect();
        let ran: IndexSet<&RequestId> = bench.journal.runs.iter().map(|run| &run.request).collect();
        let all: IndexSet<&RequestId> = booked.map(|call| &call.spec.id).collect();
        let rest = || all.iter().filter(|id| !answered.contains(**id));
        Self {
            answered: answered.len(),
            not_run: rest().filter(|id| !ran.contains(**id)).count(),
            unclear: rest().filter(|id| ran.contains(**id)).count(),
        }
    }
}

impl Sum for Bookings {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), |sum, next| Self {
            answered: sum.answered + next.answered,
            not_run: sum.not_run + next.not_run,
            unclear: sum.unclear + next.unclear,
        })
    }
}

impl fmt::Display for Bookings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.answered, self.not_run, self.unclear)
    }
}
