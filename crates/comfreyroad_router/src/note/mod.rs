//! Numbered log events of the router. `docs/EVENTS.md` documents them, and a test compares it with [`ALL`].

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
    /// The process was asked to shut down.
    DRAINING = 1003, Info, "router draining";
    /// The process exits.
    STOPPED = 1004, Info, "router stopped";
    /// The settings file was reloaded.
    SETTINGS_RELOADED = 1005, Info, "settings reloaded";
    /// The process was paused.
    PROCESS_PAUSED = 1006, Warn, "process was paused";
    /// The reader of the log did not keep up, so that lines were lost.
    LOG_LINES_LOST = 1007, Warn, "log lines lost";
    /// A new configuration is in force.
    CONFIGURATION_APPLIED = 1101, Info, "configuration in force";
    /// A zone is evacuated: its upstreams get no requests.
    ZONE_EVACUATED = 1102, Info, "zone evacuated";
    /// The upstreams of a zone get requests again.
    ZONE_RESTORED = 1103, Info, "zone restored";
    /// A record cannot be decoded.
    RECORD_UNREADABLE = 1104, Warn, "record unreadable";
    /// The store does not answer.
    STORE_LOST = 1201, Warn, "store unreachable";
    /// The store answers again.
    STORE_RECOVERED = 1202, Info, "store reachable again";
    /// Records expired before they were read; the topic is listed again.
    RECORDS_EXPIRED = 1203, Info, "records expired before they were read";
    /// The store was restored from a copy and has lost its newest records.
    STORE_RESTORED = 1204, Warn, "store restored from a copy";
    /// A heartbeat of a new peer has arrived.
    PEER_JOINED = 1301, Info, "peer joined";
    /// No newer heartbeat of a peer has arrived within the timeout.
    PEER_LOST = 1302, Warn, "peer lost";
    /// An upstream was registered.
    UPSTREAM_ADDED = 1401, Info, "upstream added";
    /// An upstream is draining.
    UPSTREAM_DRAINING = 1402, Info, "upstream draining";
    /// An upstream was removed.
    UPSTREAM_REMOVED = 1403, Info, "upstream removed";
    /// The registration of an upstream is missing around a store outage, so the upstream is kept for a grace period.
    UPSTREAM_LAPSED = 1404, Warn, "upstream registration lapsed";
    /// An upstream is cold and gets a limited request rate.
    UPSTREAM_COLD = 1405, Info, "upstream cold";
    /// An upstream was ejected after consecutive failures and gets no requests for some time.
    UPSTREAM_EJECTED = 1406, Warn, "upstream ejected";
    /// An engine has failed to answer this entry or a peer and gets no new requests until it answers some entry.
    UPSTREAM_SUSPECTED = 1407, Info, "upstream suspected";
    /// An upstream states that it takes only a limited request rate from all entries together.
    UPSTREAM_LIMITED = 1408, Warn, "upstream states a rate limit";
    /// An upstream that stated a rate limit states none any more.
    UPSTREAM_UNLIMITED = 1409, Info, "upstream has no rate limit any more";
    /// An upstream states something about itself that cannot be read, which is ignored.
    STATEMENT_UNREADABLE = 1410, Warn, "statement of upstream unreadable";
    /// An upstream states that it is about to leave. It gets no requests that another one can take, and soon none.
    UPSTREAM_LEAVING = 1411, Info, "upstream states that it leaves";
    /// An upstream that stated that it leaves states so no more, and gets requests again.
    UPSTREAM_STAYS = 1412, Info, "upstream does not leave";
    /// An upstream wants no requests from this entry for a time.
    UPSTREAM_PAUSED = 1413, Info, "upstream paused";
    /// A request was refused.
    REQUEST_REFUSED = 1501, Info, "request refused";
    /// An upstream rejected a request without running it; the request is placed again.
    REQUEST_REJECTED = 1502, Info, "request rejected by upstream";
    /// An attempt failed that the upstream may have run.
    ATTEMPT_FAILED = 1503, Warn, "attempt failed";
    /// A stream resumes from another upstream.
    STREAM_RESUMED = 1504, Info, "stream resumed";
    /// An answer was aborted before it was complete.
    ANSWER_ABORTED = 1505, Warn, "answer aborted";
    /// A request was answered.
    REQUEST_SERVED = 1506, Info, "request served";
    /// The caller disconnected before its answer was complete.
    CALLER_GONE = 1507, Info, "caller disconnected";
    /// A small model had low confidence in its answer, and the largest model is asked.
    ESCALATED = 1508, Info, "escalated to larger model";
    /// The process ends before the end of an answer.
    ANSWER_CUT = 1509, Warn, "answer cut at exit";
    /// An upstream is silent, and no other one can take over its request, which stays where it is.
    UPSTREAM_SILENT = 1510, Info, "upstream silent, request stays";
    /// A rollout has started.
    ROLLOUT_STARTED = 1601, Info, "rollout started";
    /// All requests go to the new version.
    ROLLOUT_CUT_OVER = 1602, Info, "rollout cut over to new version";
    /// The new version was found bad, or not proved in time, and is rolled back.
    ROLLOUT_FAILED = 1603, Error, "new version found bad";
    /// A new status of a rollout was read back from the store.
    ROLLOUT_STATUS_WRITTEN = 1604, Info, "rollout status written";
    /// The answers since the cutover do not speak against the new version, which is completed.
    ROLLOUT_PROVED = 1605, Info, "new version proved";
    /// A version gets no new requests, whichever rollout comes next, unless one brings it in.
    VERSION_WITHDRAWN = 1606, Info, "version withdrawn";
    /// A part of prompts crashes engines. Requests with it are refused.
    PART_QUARANTINED = 1701, Error, "prompt part quarantined";
    /// Requests with a part of prompts are no longer refused.
    PART_RELEASED = 1702, Info, "prompt part released";
    /// Room in a pool is short, and a customer uses more than its share of it.
    CUSTOMER_BEYOND = 1801, Info, "customer beyond its share";
    /// A customer is within its share of a pool again, or room is not short any more.
    CUSTOMER_WITHIN = 1802, Info, "customer within its share";
}
