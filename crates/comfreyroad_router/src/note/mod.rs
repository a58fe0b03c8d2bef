//! Numbered log events of the router. `docs/EVENTS.md` is the catalogue, and a test holds it against [`ALL`].

pub use comfreyroad::note::{Kind, Level, Note};

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $title:literal;)*) => {
        $($(#[$doc])* pub static $name: Kind = Kind::new($number, Level::$level, $title);)*

        /// Every kind of event, by number.
        pub static ALL: &[&Kind] = &[$(&$name),*];
    };
}

catalogue! {
    /// The process has started.
    STARTED = 1001, Info, "router started";
    /// The process takes requests.
    SERVING = 1002, Info, "router serving";
    /// The process was asked to end.
    DRAINING = 1003, Info, "router draining";
    /// The process is at its end.
    STOPPED = 1004, Info, "router stopped";
    /// The settings file was read again.
    SETTINGS_RELOADED = 1005, Info, "settings read again";
    /// The process stood still.
    PROCESS_PAUSED = 1006, Warn, "process was paused";
    /// A configuration is in force.
    CONFIGURATION_APPLIED = 1101, Info, "configuration in force";
    /// A zone is evacuated.
    ZONE_EVACUATED = 1102, Info, "zone evacuated";
    /// A zone takes requests again.
    ZONE_RESTORED = 1103, Info, "zone restored";
    /// A record cannot be read.
    RECORD_UNREADABLE = 1104, Warn, "record unreadable";
    /// The store does not answer.
    STORE_LOST = 1201, Warn, "store lost";
    /// The store answers again.
    STORE_RECOVERED = 1202, Info, "store regained";
    /// Records expired before they were read; the topic is listed anew.
    RECORDS_EXPIRED = 1203, Info, "records expired unread";
    /// A peer was heard for the first time.
    PEER_JOINED = 1301, Info, "peer joined";
    /// A peer was not heard for too long.
    PEER_LOST = 1302, Warn, "peer lost";
    /// An upstream was registered.
    UPSTREAM_ADDED = 1401, Info, "upstream added";
    /// An upstream is leaving.
    UPSTREAM_DRAINING = 1402, Info, "upstream draining";
    /// An upstream is gone.
    UPSTREAM_REMOVED = 1403, Info, "upstream removed";
    /// An upstream's registration lapsed around an outage of the store, so it is kept for a while.
    UPSTREAM_LAPSED = 1404, Warn, "upstream registration lapsed";
    /// An upstream is cold.
    UPSTREAM_COLD = 1405, Info, "upstream cold";
    /// An upstream failed too often and gets nothing for a while.
    UPSTREAM_EJECTED = 1406, Warn, "upstream ejected";
    /// A request was refused.
    REQUEST_REFUSED = 1501, Info, "request refused";
    /// An upstream has not run a request, which goes elsewhere.
    REQUEST_REJECTED = 1502, Info, "request rejected by upstream";
    /// An attempt failed.
    ATTEMPT_FAILED = 1503, Warn, "attempt failed";
    /// A stream goes on from another upstream.
    STREAM_RESUMED = 1504, Info, "stream resumed";
    /// An answer broke off.
    ANSWER_BROKEN_OFF = 1505, Warn, "answer broken off";
    /// A request was answered.
    REQUEST_SERVED = 1506, Info, "request served";
    /// The caller left before its answer was whole.
    CALLER_GONE = 1507, Info, "caller gone";
    /// A small model was not sure of its answer, and the largest is asked.
    ESCALATED = 1508, Info, "larger model asked";
    /// A rollout has begun.
    ROLLOUT_STARTED = 1601, Info, "rollout begun";
    /// All requests move to the new version.
    ROLLOUT_CUT_OVER = 1602, Info, "rollout shifts to new version";
    /// The new version was found bad.
    ROLLOUT_FAILED = 1603, Error, "new version found bad";
    /// The status of a rollout is known to be written.
    ROLLOUT_STATUS_WRITTEN = 1604, Info, "rollout status written";
}
