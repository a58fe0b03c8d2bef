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
use crate::gate::Gate;
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::{Result, VersionId};

/// Size of the bytes that stand for a version's weights.
const WEIGHTS_BYTES: usize = 4096;

/// The weight store, which lets through a bounded number of loads per second.
pub struct Weights {
    gate: Gate,
    loads: RefCell<Bucket>,
    served: RefCell<IndexMap<VersionId, u64>>,
    limited: Cell<u64>,
}

impl Weights {
    /// A store that gives `per_second` versions a second, after a first `burst`.
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            gate: Gate::default(),
            loads: RefCell::new(Bucket::new(per_second, burst)),
            served: RefCell::default(),
            limited: Cell::new(0),
        }
    }

    fn load(&self, version: &str) -> Reply {
        if let Err(wait) = self.loads.borrow_mut().take(1.0) {
            self.limited.set(self.limited.get() + 1);
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
    fn gate(&self) -> &Gate {
        &self.gate
    }

    fn journal(&self) -> Value {
        json!({ "served": &*self.served.borrow(), "limited": self.limited.get() })
    }

    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>> {
        Box::pin(async move {
            Ok(match call.path.strip_prefix("/v1/weights/") {
                Some(version) if call.method == "GET" => self.load(version),
                _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
            })
        })
    }
}
