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
    /// The entry is at its end and has said so on the log.
    ENTRY_GONE = 103, Info, "entry gone";
    /// No new sessions begin, as the term ends soon.
    TERM_NEAR = 104, Info, "term ends soon";
    /// The term is over: no new work.
    TERM_OVER = 105, Warn, "term over";
    /// The totals of the venture are on the log.
    VENTURE_CLOSED = 106, Info, "venture closed";
    /// The end of the term has moved, or this entry has finished its work after it.
    TERM_CHANGED = 107, Info, "term changed";
    /// A new generation of the rules is in force.
    RULES_IN_FORCE = 201, Info, "rules in force";
    /// A publish lost the race or does not check.
    PUBLISH_REFUSED = 202, Warn, "publish refused";
    /// The rules were not confirmed for too long.
    RULES_UNCONFIRMED = 203, Warn, "rules no longer confirmed";
    /// The rules are confirmed again.
    RULES_CONFIRMED = 204, Info, "rules confirmed again";
    /// No entry hears of the log; new work is taken by the rules last known.
    LOG_OUTAGE = 205, Warn, "log out of every entry's reach, serving on";
    /// The rules in force are repeated on the log before their record expires.
    RULES_CHECKPOINTED = 206, Info, "rules repeated on the log";
    /// Records of the rules expired unread; the rules in force are not known until a peer or a checkpoint tells.
    RULES_MISSED = 207, Warn, "rules expired unread";
    /// A peer was heard for the first time.
    PEER_JOINED = 301, Info, "peer joined";
    /// A peer has not been heard for too long, or has left.
    PEER_LOST = 302, Warn, "peer lost";
    /// The entry was paused, and starts anew with its knowledge of peers.
    ENTRY_PAUSED = 303, Warn, "entry was paused";
    /// An upstream appeared.
    UPSTREAM_JOINED = 401, Info, "upstream joined";
    /// An upstream is cold again.
    UPSTREAM_COLD = 402, Warn, "upstream cold";
    /// An upstream bears full load.
    UPSTREAM_WARM = 403, Info, "upstream warm";
    /// An upstream gets no new work.
    UPSTREAM_LEAVING = 404, Info, "upstream leaving";
    /// A request was refused.
    REQUEST_REFUSED = 501, Info, "request refused";
    /// A request was sent again.
    REQUEST_RETRIED = 502, Info, "request sent again";
    /// A late or crossed answer was dropped.
    WRONG_ATTEMPT = 503, Warn, "answer of another attempt dropped";
    /// A session had to leave its version, which is withdrawn or held.
    SESSION_MOVED = 504, Warn, "session moved to another version";
    /// A request was sent a second time because its answer was late.
    ANSWER_HEDGED = 505, Info, "late answer hedged";
    /// An answer broke off and goes on from another sending.
    ANSWER_RESUMED = 506, Info, "answer resumed";
    /// A part of an answer was missing, or its count was wrong.
    ANSWER_INCOMPLETE = 507, Warn, "answer incomplete";
    /// A waiting request was refused to make room or because it could not make its deadline.
    REQUEST_SHED = 508, Warn, "request shed";
    /// A failed request was not sent again because the budget is spent.
    RETRY_DENIED = 509, Warn, "retry budget spent";
    /// The log does not answer.
    LOG_DOWN = 601, Warn, "log does not answer";
    /// The log answers again.
    LOG_UP = 602, Info, "log answers again";
    /// An append may or may not have been taken.
    APPEND_UNCLEAR = 603, Warn, "append unclear";
    /// An answer ended before its bill was safe.
    BILL_AT_RISK = 701, Error, "answer ended with its bill at risk";
    /// A second bill with one key was read and does not count.
    DUPLICATE_BILL = 702, Info, "bill stands twice on the log";
    /// A claim was lost to an earlier one.
    CLAIM_LOST = 703, Info, "claim lost";
    /// A claim cannot be judged, since the log does not reach back far enough or an earlier claim has grown old.
    CLAIM_UNDECIDABLE = 704, Warn, "claim cannot be judged";
    /// The rating service does not answer.
    RATINGS_DOWN = 801, Warn, "rating service does not answer";
    /// The rating service answers again.
    RATINGS_UP = 802, Info, "rating service answers again";
    /// A version turned out bad and is to be held back.
    VERSION_BAD = 803, Error, "version found bad";
    /// A version turned out bad, but no other one could answer instead.
    BAD_VERSION_KEPT = 804, Error, "bad version kept for want of another";
    /// An answer was rated bad, and the next version of the chain answers.
    ANSWER_ESCALATED = 805, Info, "answer rated bad, next version answers";
}
