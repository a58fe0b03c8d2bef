//! Mechanisms that tests can switch off.

/// A mechanism that a test can switch off, to show that the test notices its absence.
///
/// No setting of the released programs switches one off.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Entries gossip the rules and their confirmation.
    RulesGossip,
    /// The age of a confirmation by a peer is counted from the time of the request to the peer.
    ConfirmationAge,
    /// Rules that are not confirmed for too long count as stale.
    Staleness,
    /// Serving during an outage of the log requires that every zone reports the outage.
    ZoneAgreement,
    /// The rules are written to the log again before their record expires.
    Checkpoints,
    /// The rules count as unknown after records were missed.
    GapDetection,
    /// Each slot of a starting upstream belongs to one entry.
    SlotOwnership,
    /// The new owner of a slot waits until the previous owner has had time to notice the change.
    SlotSettling,
    /// The new owner of a slot waits for the in-flight requests of the previous owner.
    SlotInFlight,
    /// The slots of a starting upstream become available with good answers.
    WarmUp,
    /// An entry that was paused relies on its view only after it has received messages of peers again.
    PauseIsolation,
    /// Unresponsive entries keep their slots while the VM list contains them.
    SlotRetention,
    /// An old heartbeat does not revive a lost peer.
    Tombstones,
    /// Versions are checked again when a request is sent.
    SendCheck,
    /// The parts of an answer are checked for their attempt, order and count.
    AnswerChecks,
    /// Retries are limited by a budget.
    RetryBudget,
    /// Requests are hedged if the first part of the answer is late.
    Hedges,
    /// Under overload, calls are refused early by class and deadline.
    Shedding,
    /// Queued calls are scheduled by class, customer and weight.
    FairQueue,
    /// Sessions with ids chosen by their callers keep their version when shares change.
    StickyIds,
    /// Queued requests are assigned another version when theirs is withdrawn.
    Repinning,
    /// A draining entry waits for its calls.
    Draining,
    /// Of two cells with the same origin and subject the greater one counts.
    CountMerging,
    /// A chain of versions is used only while the rating service answers.
    RatingHealth,
    /// Answers of all but the last version of a chain are rated before they are delivered.
    AnswerRating,
    /// Versions that are found bad are put on hold.
    RegressionDetector,
    /// The evidence against a version stays valid when it is evaluated repeatedly.
    AnytimeEvidence,
    /// Of several claims the first one on the log counts.
    ClaimOrder,
    /// A reader accepts a claim only if it has read all records that may contain an earlier claim.
    ClaimHistory,
    /// A peer stores bills until they are on the log.
    BillReplicas,
    /// The log is read back after an unclear append of bills.
    AppendReadBack,
    /// Totals of the bills are written before the bills expire.
    Totals,
}
