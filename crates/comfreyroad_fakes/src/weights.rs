//! Stand-in for the weight store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::StatusCode;
use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::bucket::Bucket;
use crate::call::Call;
use crate::injector::Injector;
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::{Result, VersionId};

/// Size of the placeholder body served as the weights of a version.
const WEIGHTS_BYTES: usize = 4096;

/// The weight store, which limits the rate of downloads.
pub struct Weights {
    injector: Injector,
    bucket: RefCell<Bucket>,
    served: RefCell<IndexMap<VersionId, u64>>,
    rate_limited: Cell<u64>,
}

impl Weights {
    /// Creates a store that allows `per_second` downloads per second and bursts of `burst`.
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            injector: Injector::default(),
            bucket: RefCell::new(Bucket::new(per_second, burst)),
            served: RefCell::default(),
            rate_limited: Cell::new(0),
        }
    }

    fn download(&self, version: &str) -> Reply {
        if let Err(wait) = self.bucket.borrow_mut().take(1.0) {
            self.rate_limited.set(self.rate_limited.get() + 1);
            let refusal = reply::error(StatusCode::TOO_MANY_REQUESTS, "load rate");
            return reply::with_header(refusal, "retry-after", &wait.as_secs().max(1).to_string());
        }
        *self
            .served
            .borrow_mut()
            .entry(version.to_owned())
            .or_default() += 1;
        reply::bytes(Bytes::from(vec![0; WEIGHTS_BYTES]))
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self::new(1.0, 2.0)
    }
}

impl Fake for Weights {
    fn injector(&self) -> &Injector {
        &self.injector
    }

    fn journal(&self) -> Value {
        json!({ "served": &*self.served.borrow(), "limited": self.rate_limited.get() })
    }

    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>> {
        Box::pin(async move {
            Ok(match call.path.strip_prefix("/v1/weights/") {
                Some(version) if call.method == "GET" => self.download(version),
                _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
            })
        })
    }
}
