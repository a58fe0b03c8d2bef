use std::sync::Arc;
use std::time::SystemTime;

use super::{Bill, Key};
use crate::id::{BootId, EntryId, Generation, Offset, UpstreamId, VersionId};

/// One record of the log.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[non_exhaustive]
pub enum Record {
    /// An operator's rules. In force if they check and follow the generation in force at their offset.
    Publish {
        /// The operator.
        by: Arc<str>,
        /// The generation that they follow.
        after: Generation,
        /// The whole file.
        text: Arc<str>,
    },
    /// The rules in force at an offset, repeated before the log drops them.
    Checkpoint {
        /// The generation in force.
        generation: Generation,
        /// Offset of the record that brought it into force.
        offset: Offset,
        /// The operator who published it.
        by: Arc<str>,
        /// The whole file.
        text: Arc<str>,
        /// Offset of the first record that was not counted. A reader that has all records from there on knows the rules.
        #[cfg_attr(feature = "serde", serde(default))]
        next: Offset,
        /// Versions held back at that offset.
        #[cfg_attr(feature = "serde", serde(default))]
        held: Vec<VersionId>,
    },
    /// A version is withheld until the next accepted publish after this offset.
    Hold {
        /// The version.
        version: VersionId,
        /// The generation under which it was found bad.
        generation: Generation,
        /// Why, for a person.
        reason: Arc<str>,
    },
    /// Wish to run a request that may run once at most. The first with a key counts.
    Claim {
        /// The request.
        key: Key,
        /// Who wants to run it.
        writer: Writer,
    },
    /// The claim's holder has not run the request and will not: the next claim counts.
    Release {
        /// The request.
        key: Key,
        /// Who held it.
        writer: Writer,
    },
    /// What became of a claimed request.
    Settle {
        /// The request.
        key: Key,
        /// Who ran it.
        writer: Writer,
        /// How it ended.
        outcome: Outcome,
    },
    /// A bill.
    Bill(Bill),
    /// Totals of all bills before an offset, by customer, written before those are dropped.
    Totals {
        /// The offset up to which bills are counted.
        before: Offset,
        /// Customer, number of requests and cost.
        sums: Vec<(Arc<str>, u64, u64)>,
    },
    /// A lease on giving orders to a pool's engines. Its offset is the fencing number.
    Lease {
        /// Who wants it.
        writer: Writer,
        /// When it ends.
        until: SystemTime,
    },
    /// An order given to an engine under a lease.
    Ordered {
        /// The lease's offset.
        fence: Offset,
        /// The engine.
        upstream: UpstreamId,
        /// Versions that it shall have.
        versions: Vec<VersionId>,
    },
    /// An entry has finished its work, or lists what it had to leave.
    Gone {
        /// The entry.
        writer: Writer,
        /// Requests that were cut.
        cut: Vec<Key>,
    },
    /// The venture is over: totals of each firm, and nothing after.
    Closing {
        /// Firm, number of requests and cost.
        sums: Vec<(Arc<str>, u64, u64)>,
    },
}

/// One start of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Writer {
    /// The entry.
    pub entry: EntryId,
    /// Its start.
    pub boot: BootId,
    /// Number of the call at this start.
    pub number: u64,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// The upstream answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Type of the body.
        #[cfg_attr(feature = "serde", serde(default))]
        content_type: Option<Arc<str>>,
        /// Body, where it was small enough to keep.
        body: Option<Arc<[u8]>>,
    },
    /// Nobody knows.
    #[cfg_attr(feature = "serde", serde(rename = "Doubtful"))]
    Unknown,
}
