use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_wire::platform::Append;
use compio::time::timeout_at;
use futures_util::future::LocalBoxFuture;
use http::StatusCode;
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::{Settings, Stream};
use crate::bucket::Bucket;
use crate::call::Call;
use crate::injector::{Faults, Injector};
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::time::millis;
use crate::{Error, Result};

/// Maximum number of records in a page when the reader sets no limit.
const DEFAULT_PAGE_RECORDS: usize = 1000;

/// The log service: streams of records with offsets.
pub struct Service {
    settings: Settings,
    injector: Injector,
    streams: RefCell<IndexMap<String, Stream>>,
    append_bucket: RefCell<Bucket>,
    counts: RefCell<Counts>,
    appends_to_lose: Cell<u32>,
}

#[derive(Default)]
struct Counts {
    appends: u64,
    rate_limited: u64,
    reads: u64,
}

impl Service {
    /// Creates an empty log service.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let rate = settings.appends_per_second;
        Self {
            settings,
            injector: Injector::default(),
            streams: RefCell::default(),
            append_bucket: RefCell::new(Bucket::new(rate, (rate / 4.0).max(1.0))),
            counts: RefCell::default(),
            appends_to_lose: Cell::new(0),
        }
    }

    fn append(&self, name: &str, call: &Call) -> Reply {
        let append: Append = match call.json() {
            Ok(append) => append,
            Err(err) => return reply::error(StatusCode::BAD_REQUEST, &err.to_string()),
        };
        if let Err(wait) = self.append_bucket.borrow_mut().take(1.0) {
            self.counts.borrow_mut().rate_limited += 1;
            let body =
                json!({ "error": { "message": "append rate", "retry_after_ms": millis(wait) } });
            return reply::json(StatusCode::TOO_MANY_REQUESTS, &body);
        }
        self.counts.borrow_mut().appends += 1;
        let mut streams = self.streams.borrow_mut();
        let appended = streams.entry(name.to_owned()).or_default().append(append);
        reply::json(StatusCode::OK, &appended)
    }

    /// Whether an injected fault drops the answer to this append; uses up one such fault.
    fn take_lost_append(&self) -> bool {
        let remaining = self.appends_to_lose.get();
        self.appends_to_lose.set(remaining.saturating_sub(1));
        remaining > 0
    }

    async fn read(&self, name: &str, call: &Call) -> Reply {
        self.counts.borrow_mut().reads += 1;
        let from: u64 = call.query("from");
        let until = Instant::now() + Duration::from_millis(call.query("wait_ms"));
        let limit = match call.query("limit") {
            0 => DEFAULT_PAGE_RECORDS,
            limit => limit,
        };
        loop {
            let appended = {
                let mut streams = self.streams.borrow_mut();
                let stream = streams.entry(name.to_owned()).or_default();
                stream.trim(self.settings.max_records, self.settings.max_age);
                if stream.has_from(from) || Instant::now() >= until {
                    return reply::json(StatusCode::OK, &stream.page(from, limit));
                }
                stream.appended()
            };
            // The stream is read again both after an append and after the timeout.
            timeout_at(until, appended).await.ok();
        }
    }
}

impl Fake for Service {
    fn injector(&self) -> &Injector {
        &self.injector
    }

    fn journal(&self) -> Value {
        let counts = self.counts.borrow();
        let mut streams = json!({});
        for (name, stream) in &*self.streams.borrow() {
            streams[name] = json!({ "oldest": stream.oldest(), "next": stream.next() });
        }
        json!({
            "appends": counts.appends, "limited": counts.rate_limited, "reads": counts.reads,
            "streams": streams,
        })
    }

    fn apply_faults(&self, faults: &Faults) {
        if let Some(count) = faults.lose_appends {
            self.appends_to_lose.set(count);
        }
    }

    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>> {
        Box::pin(async move {
            let rest = call
                .path
                .strip_prefix("/v1/streams/")
                .and_then(|rest| rest.split_once('/'));
            Ok(match (call.method.as_str(), rest) {
                ("POST", Some((name, "append"))) => {
                    let reply = self.append(name, &call);
                    if self.take_lost_append() {
                        return Err(Error::Dropped { peer: call.peer });
                    }
                    reply
                }
                ("GET", Some((name, "read"))) => self.read(name, &call).await,
                _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
            })
        })
    }
}
