use super::{Kind, Level};

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $title:literal;)*) => {
        $($(#[$doc])* pub static $name: Kind = Kind::new($number, Level::$level, $title);)*

        /// Every kind of event, by number.
        pub static ALL: &[&Kind] = &[$(&$name),*];
    };
}

catalogue! {
    /// The entry's phase changed.
    PHASE = 101, Info, "phase changed";
    /// Requests were cut at the end of a shutdown.
    REQUESTS_CUT = 102, Error, "requests cut at shutdown";
    /// The entry has shut down and recorded this on the log.
    ENTRY_GONE = 103, Info, "entry gone";
    /// No new sessions are accepted, because the term ends soon.
    TERM_NEAR = 104, Info, "term ends soon";
    /// The term is over, and no new work is accepted.
    TERM_OVER = 105, Warn, "term over";
    /// The final totals of the venture are on the log.
    VENTURE_CLOSED = 106, Info, "venture closed";
    /// The end of the term was changed, or this entry has finished its work after the end.
    TERM_CHANGED = 107, Info, "term changed";
    /// A new generation of the rules is in force.
    RULES_IN_FORCE = 201, Info, "rules in force";
    /// A publish follows an outdated generation, or its rules are invalid.
    PUBLISH_REFUSED = 202, Warn, "publish refused";
    /// The rules were not confirmed for too long.
    RULES_UNCONFIRMED = 203, Warn, "rules no longer confirmed";
    /// The rules are confirmed again.
    RULES_CONFIRMED = 204, Info, "rules confirmed again";
    /// No entry can reach the log. New work is accepted under the last known rules.
    LOG_OUTAGE = 205, Warn, "log unreachable for all entries, still serving";
    /// The rules in force were written to the log again before their record expires.
    RULES_CHECKPOINTED = 206, Info, "rules repeated on the log";
    /// Records of the rules expired before they were read. The rules are unknown until a peer or a checkpoint provides
    /// them.
    RULES_MISSED = 207, Warn, "rules records expired before they were read";
    /// The first heartbeat of a peer arrived.
    PEER_JOINED = 301, Info, "peer joined";
    /// A peer sent no heartbeat for too long, or has shut down.
    PEER_LOST = 302, Warn, "peer lost";
    /// The process was paused. The entry relies on its view of peers only after it has received new messages.
    ENTRY_PAUSED = 303, Warn, "entry was paused";
    /// An upstream appeared.
    UPSTREAM_JOINED = 401, Info, "upstream joined";
    /// An upstream is cold again.
    UPSTREAM_COLD = 402, Warn, "upstream cold";
    /// An upstream takes its full load.
    UPSTREAM_WARM = 403, Info, "upstream warm";
    /// An upstream gets no new requests.
    UPSTREAM_LEAVING = 404, Info, "upstream leaving";
    /// A request was refused.
    REQUEST_REFUSED = 501, Info, "request refused";
    /// A request was sent again.
    REQUEST_RETRIED = 502, Info, "request sent again";
    /// A part of an answer that belongs to another attempt was dropped.
    WRONG_ATTEMPT = 503, Warn, "answer of another attempt dropped";
    /// A session was moved, because its version is withdrawn or on hold.
    SESSION_MOVED = 504, Warn, "session moved to another version";
    /// A request was sent a second time because the answer was late.
    ANSWER_HEDGED = 505, Info, "request hedged";
    /// An answer broke off and was continued by another attempt.
    ANSWER_RESUMED = 506, Info, "answer resumed";
    /// A part of an answer was missing, or its token count was wrong.
    ANSWER_INCOMPLETE = 507, Warn, "answer incomplete";
    /// A queued request was refused to free capacity or because it could not meet its deadline.
    REQUEST_SHED = 508, Warn, "request shed";
    /// A failed request was not retried because the retry budget is exhausted.
    RETRY_DENIED = 509, Warn, "retry budget exhausted";
    /// The log does not answer.
    LOG_DOWN = 601, Warn, "log does not answer";
    /// The log answers again.
    LOG_UP = 602, Info, "log answers again";
    /// It is not known whether an append was accepted.
    APPEND_UNCLEAR = 603, Warn, "append outcome unknown";
    /// An answer ended before its bill was on the log or stored by a peer.
    BILL_AT_RISK = 701, Error, "answer ended before its bill was stored";
    /// A second bill for the same request was read. It does not count.
    DUPLICATE_BILL = 702, Info, "duplicate bill on the log";
    /// A claim was lost to an earlier one.
    CLAIM_LOST = 703, Info, "claim lost";
    /// A claim cannot be decided, because the log does not reach back far enough or an earlier claim is too old.
    CLAIM_UNDECIDABLE = 704, Warn, "claim cannot be decided";
    /// The rating service does not answer.
    RATINGS_DOWN = 801, Warn, "rating service does not answer";
    /// The rating service answers again.
    RATINGS_UP = 802, Info, "rating service answers again";
    /// A version was found bad and is put on hold.
    VERSION_BAD = 803, Error, "version found bad";
    /// A version was found bad, but stays in use because no other version can answer.
    BAD_VERSION_KEPT = 804, Error, "bad version kept, no other version available";
    /// An answer was rated bad, and the next version of the chain answers.
    ANSWER_ESCALATED = 805, Info, "answer rated bad, next version answers";
}
