//! Mechanisms that a proof can switch off.

/// A mechanism that a proof can switch off, to show that its checks notice.
///
/// No setting of a shipped program reaches it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Rules and their confirmation are passed on between entries.
    RulesGossip,
    /// The age of a peer's confirmation counts from when the peer was asked.
    ConfirmationAge,
    /// Unconfirmed rules count as stale.
    Staleness,
    /// Serving on without the log takes word from every zone.
    ZoneAgreement,
    /// Rules are repeated on the log before their record expires.
    Checkpoints,
    /// Missed records make the rules unknown.
    GapDetection,
    /// Slots of a starting upstream belong to one entry each.
    SlotOwnership,
    /// A slot's new owner waits until the old one must have noticed.
    SlotSettling,
    /// A slot's new owner waits for what the old one has in flight.
    SlotInFlight,
    /// Slots open with good answers only.
    WarmUp,
    /// An entry that was paused trusts its view only after it has heard peers again.
    PauseIsolation,
    /// Silent entries keep their slots while the VM list names them.
    SlotRetention,
    /// An old heartbeat cannot bring a lost peer back.
    Tombstones,
    /// Versions are checked again when a request is sent.
    SendCheck,
    /// Parts of an answer are held against its attempt, order and count.
    AnswerChecks,
    /// Retries have a budget.
    RetryBudget,
    /// Late first parts are hedged.
    Hedges,
    /// Calls are refused early by class and deadline.
    Shedding,
    /// Waiting calls get their turn by class, customer and weight.
    FairQueue,
    /// Sessions of callers' own ids keep their version when shares change.
    StickyIds,
    /// Waiting requests get another version when theirs is withdrawn.
    Repinning,
    /// A draining entry waits for its calls.
    Draining,
    /// Of two cells with one place the greater one counts.
    CountMerging,
    /// A chain of versions needs a rating service that answers.
    RatingHealth,
    /// Answers of all but the last version of a chain are rated before they are delivered.
    AnswerRating,
    /// Versions that turn out bad are held back.
    RegressionDetector,
    /// Evidence is valid at any time, and not only when it is looked at once.
    AnytimeEvidence,
    /// A claim counts by its place on the log.
    ClaimOrder,
    /// A claim counts only for a reader who has read what may have come before it.
    ClaimHistory,
    /// Bills are kept by a peer until they are on the log.
    BillReplicas,
    /// The log is read back after an unclear append of bills.
    AppendReadBack,
    /// Totals of the bills are written before these expire.
    Totals,
}
