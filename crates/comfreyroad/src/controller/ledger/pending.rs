use std::time::Instant;

use crate::id::{Address, CallId};
use crate::record::Bill;

/// A bill not yet known to be on the log.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) bill: Bill,
    /// Calls whose answers wait for it.
    pub(super) calls: Vec<CallId>,
    /// When they stop waiting.
    pub(super) give_up_at: Instant,
    /// The peer that was asked to keep it.
    pub(super) keeper: Option<Address>,
    /// Whether that peer has it.
    pub(super) is_kept: bool,
}

impl Pending {
    pub(super) fn new(bill: &Bill, call: Option<CallId>, give_up_at: Instant) -> Self {
        Self {
            bill: bill.clone(),
            calls: Vec::from_iter(call),
            give_up_at,
            keeper: None,
            is_kept: false,
        }
    }

    /// A higher bill with the same key takes this one's place.
    pub(super) fn raise(&mut self, bill: &Bill, call: Option<CallId>, give_up_at: Instant) {
        self.bill = bill.clone();
        self.calls.extend(call);
        self.give_up_at = give_up_at;
        self.is_kept = false;
    }

    /// The peer is gone, and what it had.
    pub(super) fn lose_keeper(&mut self) {
        self.keeper = None;
        self.is_kept = false;
    }
}
