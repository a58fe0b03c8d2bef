use std::time::Instant;

use crate::id::{Address, CallId};
use crate::record::Bill;

/// A bill not yet known to be on the log.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) bill: Bill,
    /// Calls whose answers wait for the bill to be safe.
    pub(super) calls: Vec<CallId>,
    /// When these calls stop waiting.
    pub(super) give_up_at: Instant,
    /// The peer that was asked to store a replica.
    pub(super) replica_peer: Option<Address>,
    /// Whether that peer has confirmed the replica.
    pub(super) is_replicated: bool,
}

impl Pending {
    pub(super) fn new(bill: &Bill, call: Option<CallId>, give_up_at: Instant) -> Self {
        Self {
            bill: bill.clone(),
            calls: Vec::from_iter(call),
            give_up_at,
            replica_peer: None,
            is_replicated: false,
        }
    }

    /// Replaces the bill by a higher one with the same key.
    pub(super) fn replace_bill(&mut self, bill: &Bill, call: Option<CallId>, give_up_at: Instant) {
        self.bill = bill.clone();
        self.calls.extend(call);
        self.give_up_at = give_up_at;
        self.is_replicated = false;
    }

    /// Drops the replica because the peer that stored it is gone.
    pub(super) fn clear_replica(&mut self) {
        self.replica_peer = None;
        self.is_replicated = false;
    }
}
