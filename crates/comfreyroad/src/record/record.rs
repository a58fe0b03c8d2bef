use std::sync::Arc;
use std::time::SystemTime;

use super::{Bill, Key};
use crate::id::{BootId, EntryId, Generation, Offset, UpstreamId, VersionId};

/// One record of the log.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[non_exhaustive]
pub enum Record {
    /// Rules published by an operator. They come into force if they are valid and follow the generation that is in
    /// force at their offset.
    Publish {
        /// The operator.
        by: Arc<str>,
        /// The generation that they replace.
        after: Generation,
        /// The complete file.
        text: Arc<str>,
    },
    /// A copy of the rules in force at an offset, written before the log expires their record.
    Checkpoint {
        /// The generation in force.
        generation: Generation,
        /// Offset of the record that put it into force.
        offset: Offset,
        /// The operator who published it.
        by: Arc<str>,
        /// The complete file.
        text: Arc<str>,
        /// Offset of the first record that the copy does not cover. A reader that has the copy and all records from
        /// this offset on knows the rules.
        #[cfg_attr(feature = "serde", serde(default))]
        next: Offset,
        /// Versions on hold at that offset.
        #[cfg_attr(feature = "serde", serde(default))]
        held: Vec<VersionId>,
    },
    /// Puts a version on hold until the next accepted publish after this offset.
    Hold {
        /// The version.
        version: VersionId,
        /// The generation under which it was found bad.
        generation: Generation,
        /// The reason, in readable form.
        reason: Arc<str>,
    },
    /// A claim to run a request that may run at most once. The first claim with a key counts.
    Claim {
        /// The request.
        key: Key,
        /// The call that claims it.
        writer: Writer,
    },
    /// Releases a claim: its holder has not run the request and will not run it, so the next claim counts.
    Release {
        /// The request.
        key: Key,
        /// The call that held the claim.
        writer: Writer,
    },
    /// The result of a claimed request.
    Settle {
        /// The request.
        key: Key,
        /// The call that ran it.
        writer: Writer,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A bill.
    Bill(Bill),
    /// Totals of all bills before an offset, by customer, written before the log expires those bills.
    Totals {
        /// The bills before this offset are included.
        before: Offset,
        /// Customer, number of requests and cost.
        sums: Vec<(Arc<str>, u64, u64)>,
    },
    /// A lease on giving orders to a pool's engines. Its offset is the fencing token.
    Lease {
        /// The requester.
        writer: Writer,
        /// When it expires.
        until: SystemTime,
    },
    /// An order given to an engine under a lease.
    Ordered {
        /// The lease's offset.
        fence: Offset,
        /// The engine.
        upstream: UpstreamId,
        /// The versions that it has to load.
        versions: Vec<VersionId>,
    },
    /// An entry has shut down. Lists the requests that it had to cut.
    Gone {
        /// The entry.
        writer: Writer,
        /// The requests that were cut.
        cut: Vec<Key>,
    },
    /// The final record at the end of the venture, with the totals of each firm.
    Closing {
        /// Firm, number of requests and cost.
        sums: Vec<(Arc<str>, u64, u64)>,
    },
}

/// A call at one start of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Writer {
    /// The entry.
    pub entry: EntryId,
    /// The start of its process.
    pub boot: BootId,
    /// Number of the call at this start.
    pub number: u64,
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// The upstream answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        #[cfg_attr(feature = "serde", serde(default))]
        content_type: Option<Arc<str>>,
        /// The body, if it was small enough to keep.
        body: Option<Arc<[u8]>>,
    },
    /// It is not known whether the request was executed.
    #[cfg_attr(feature = "serde", serde(rename = "Doubtful"))]
    Unknown,
}
