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
use crate::gate::{Faults, Gate};
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::time::millis;
use crate::{Error, Result};

/// Records in a page when the reader sets no limit.
const DEFAULT_LIMIT: usize = 1000;

/// The log service: streams of records with offsets.
pub struct Service {
    settings: Settings,
    gate: Gate,
    streams: RefCell<IndexMap<String, Stream>>,
    appends: RefCell<Bucket>,
    counts: RefCell<Counts>,
    lose_appends: Cell<u32>,
}

#[derive(Default)]
struct Counts {
    appends: u64,
    limited: u64,
    reads: u64,
}

impl Service {
    /// An empty log service.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let rate = settings.appends_per_second;
        Self {
            settings,
            gate: Gate::default(),
            streams: RefCell::default(),
            appends: RefCell::new(Bucket::new(rate, (rate / 4.0).max(1.0))),
            counts: RefCell::default(),
            lose_appends: Cell::new(0),
        }
    }

    fn append(&self, name: &str, call: &Call) -> Reply {
        let append: Append = match call.json() {
            Ok(append) => append,
            Err(err) => return reply::error(StatusCode::BAD_REQUEST, &err.to_string()),
        };
        if let Err(wait) = self.appends.borrow_mut().take(1.0) {
            self.counts.borrow_mut().limited += 1;
            let body =
                json!({ "error": { "message": "append rate", "retry_after_ms": millis(wait) } });
            return reply::json(StatusCode::TOO_MANY_REQUESTS, &body);
        }
        self.counts.borrow_mut().appends += 1;
        let mut streams = self.streams.borrow_mut();
        let appended = streams.entry(name.to_owned()).or_default().append(append);
        reply::json(StatusCode::OK, &appended)
    }

    /// Whether a fault drops the answer to an append that was taken.
    fn loses_append(&self) -> bool {
        let left = self.lose_appends.get();
        self.lose_appends.set(left.saturating_sub(1));
        left > 0
    }

    async fn read(&self, name: &str, call: &Call) -> Reply {
        self.counts.borrow_mut().reads += 1;
        let from: u64 = call.query("from");
        let until = Instant::now() + Duration::from_millis(call.query("wait_ms"));
        let limit = match call.query("limit") {
            0 => DEFAULT_LIMIT,
            limit => limit,
        };
        loop {
            let appended = {
                let mut streams = self.streams.borrow_mut();
                let stream = streams.entry(name.to_owned()).or_default();
                stream.trim(self.settings.max_records, self.settings.max_age);
                if stream.reaches(from) || Instant::now() >= until {
                    return reply::json(StatusCode::OK, &stream.page(from, limit));
                }
                stream.appended()
            };
            // Whether woken or too late, the stream is looked at again.
            timeout_at(until, appended).await.ok();
        }
    }
}

impl Fake for Service {
    fn gate(&self) -> &Gate {
        &self.gate
    }

    fn journal(&self) -> Value {
        let counts = self.counts.borrow();
        let mut streams = json!({});
        for (name, stream) in &*self.streams.borrow() {
            streams[name] = json!({ "oldest": stream.oldest(), "next": stream.next() });
        }
        json!({
            "appends": counts.appends, "limited": counts.limited, "reads": counts.reads,
            "streams": streams,
        })
    }

    fn fault(&self, faults: &Faults) {
        if let Some(count) = faults.lose_appends {
            self.lose_appends.set(count);
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
                    if self.loses_append() {
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
