//! Stand-in for a plain service.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use comfreyroad_wire::engine::Load;
use compio::time::sleep;
use futures_util::future::LocalBoxFuture;
use http::StatusCode;
use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::call::Call;
use crate::injector::{Faults, Injector};
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::slots::{Capacity, Slots};
use crate::time::{millis, now_ms};
use crate::{AttemptId, Error, RequestId, Result};

/// Behaviour of a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Id of the VM.
    pub id: String,
    /// Capacity for concurrent and queued requests.
    pub capacity: Capacity,
    /// Processing time of a request.
    pub latency: Duration,
}

/// A plain service: `POST` requests are bookings, `GET` requests look up the last segment of the path.
pub struct Service {
    settings: Settings,
    injector: Injector,
    slots: Rc<Slots>,
    bookings: RefCell<IndexMap<RequestId, Vec<AttemptId>>>,
    bookings_to_lose: Cell<u32>,
    lookups: Cell<u64>,
    /// Booking requests without a request id.
    unidentified: Cell<u64>,
    refused: Cell<u64>,
    broken: Cell<u64>,
}

impl Service {
    /// Creates a service that starts now.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let slots = Rc::new(Slots::new(settings.capacity.clone()));
        Self {
            settings,
            injector: Injector::default(),
            slots,
            bookings: RefCell::default(),
            bookings_to_lose: Cell::new(0),
            lookups: Cell::new(0),
            unidentified: Cell::new(0),
            refused: Cell::new(0),
            broken: Cell::new(0),
        }
    }

    fn load(&self) -> Load {
        let (running, waiting, slots) = self.slots.counts();
        Load {
            at_ms: now_ms(),
            boot: self.boot(),
            uptime_ms: millis(self.slots.started_at().elapsed()),
            running,
            waiting,
            slots,
            ..Load::default()
        }
    }

    fn boot(&self) -> String {
        format!("{}-{}", self.settings.id, self.slots.boot())
    }

    async fn handle(&self, call: &Call) -> Result<Reply> {
        let priority = call.header("x-priority").parse().unwrap_or(1);
        let Ok(slot) = self.slots.acquire(priority).await else {
            self.refused.set(self.refused.get() + 1);
            return Ok(reply::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "more than it bears",
            ));
        };
        let reply = self.execute(call);
        sleep(self.settings.latency).await;
        if slot.is_broken() || self.take_lost_booking(call) {
            self.broken.set(self.broken.get() + 1);
            return Err(Error::Dropped {
                peer: call.peer.clone(),
            });
        }
        let reply = reply::with_header(reply, "x-attempt-id", call.header("x-attempt-id"));
        Ok(reply::with_header(reply, "x-boot", &self.boot()))
    }

    /// Whether an injected fault drops the answer to this call after its execution; uses up one such fault.
    fn take_lost_booking(&self, call: &Call) -> bool {
        let remaining = self.bookings_to_lose.get();
        if call.method != "POST" || remaining == 0 {
            return false;
        }
        self.bookings_to_lose.set(remaining - 1);
        true
    }

    /// Executes a call immediately, so that it stays executed when its answer is lost later.
    fn execute(&self, call: &Call) -> Reply {
        let request = call.header("x-request-id").to_owned();
        if call.method == "POST" && request.is_empty() {
            self.unidentified.set(self.unidentified.get() + 1);
            return reply::error(StatusCode::BAD_REQUEST, "no request id");
        }
        if call.method == "POST" {
            let mut bookings = self.bookings.borrow_mut();
            let attempts = bookings.entry(request.clone()).or_default();
            attempts.push(call.header("x-attempt-id").to_owned());
            return reply::json(
                StatusCode::OK,
                &json!({ "booked": request, "times": attempts.len() }),
            );
        }
        match call.path.rsplit_once('/') {
            Some((_, order)) if call.method == "GET" && !order.is_empty() => {
                self.lookups.set(self.lookups.get() + 1);
                reply::json(StatusCode::OK, &json!({ "order": order, "state": "open" }))
            }
            _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Fake for Service {
    fn injector(&self) -> &Injector {
        &self.injector
    }

    fn journal(&self) -> Value {
        let bookings = self.bookings.borrow();
        let doubled = bookings
            .values()
            .filter(|attempts| attempts.len() > 1)
            .count();
        json!({
            "id": self.settings.id, "bookings": &*bookings, "doubled": doubled,
            "lookups": self.lookups.get(), "strays": self.unidentified.get(), "refused": self.refused.get(),
            "broken": self.broken.get(), "falls": self.slots.crashes(),
        })
    }

    fn apply_faults(&self, faults: &Faults) {
        if let Some(count) = faults.lose_bookings {
            self.bookings_to_lose.set(count);
        }
        if let Some(slots) = faults.slots {
            self.slots.resize(slots);
        }
        if faults.restart {
            self.slots.restart();
        }
    }

    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>> {
        Box::pin(async move {
            match call.target() {
                ("GET", "/v1/load") => Ok(reply::json(StatusCode::OK, &self.load())),
                _ => self.handle(&call).await,
            }
        })
    }
}
