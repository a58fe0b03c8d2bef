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
use crate::gate::{Faults, Gate};
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::slots::{Size, Slots};
use crate::time::{millis, now_ms};
use crate::{AttemptId, Error, RequestId, Result};

/// How a plain service behaves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub id: String,
    /// How many requests it bears.
    pub size: Size,
    /// Time that a request takes.
    pub latency: Duration,
}

/// A plain service: a call by `POST` is a booking, one by `GET` looks up what its path ends with.
pub struct Service {
    settings: Settings,
    gate: Gate,
    slots: Rc<Slots>,
    bookings: RefCell<IndexMap<RequestId, Vec<AttemptId>>>,
    lose_bookings: Cell<u32>,
    lookups: Cell<u64>,
    /// Calls that would book for no request.
    strays: Cell<u64>,
    refused: Cell<u64>,
    broken: Cell<u64>,
}

impl Service {
    /// A service that starts now.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let slots = Rc::new(Slots::new(settings.size.clone()));
        Self {
            settings,
            gate: Gate::default(),
            slots,
            bookings: RefCell::default(),
            lose_bookings: Cell::new(0),
            lookups: Cell::new(0),
            strays: Cell::new(0),
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

    async fn run(&self, call: &Call) -> Result<Reply> {
        let priority = call.header("x-priority").parse().unwrap_or(1);
        let Ok(slot) = self.slots.take(priority).await else {
            self.refused.set(self.refused.get() + 1);
            return Ok(reply::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "more than it bears",
            ));
        };
        let reply = self.execute(call);
        sleep(self.settings.latency).await;
        if slot.is_broken() || self.loses(call) {
            self.broken.set(self.broken.get() + 1);
            return Err(Error::Dropped {
                peer: call.peer.clone(),
            });
        }
        let reply = reply::with_header(reply, "x-attempt-id", call.header("x-attempt-id"));
        Ok(reply::with_header(reply, "x-boot", &self.boot()))
    }

    /// Whether a fault drops the answer to this call, whose effect stands.
    fn loses(&self, call: &Call) -> bool {
        let left = self.lose_bookings.get();
        if call.method != "POST" || left == 0 {
            return false;
        }
        self.lose_bookings.set(left - 1);
        true
    }

    /// Has its effect at once, so that an answer lost later is one whose effect stands.
    fn execute(&self, call: &Call) -> Reply {
        let request = call.header("x-request-id").to_owned();
        if call.method == "POST" && request.is_empty() {
            self.strays.set(self.strays.get() + 1);
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
    fn gate(&self) -> &Gate {
        &self.gate
    }

    fn journal(&self) -> Value {
        let bookings = self.bookings.borrow();
        let doubled = bookings
            .values()
            .filter(|attempts| attempts.len() > 1)
            .count();
        json!({
            "id": self.settings.id, "bookings": &*bookings, "doubled": doubled,
            "lookups": self.lookups.get(), "strays": self.strays.get(), "refused": self.refused.get(),
            "broken": self.broken.get(), "falls": self.slots.falls(),
        })
    }

    fn fault(&self, faults: &Faults) {
        if let Some(count) = faults.lose_bookings {
            self.lose_bookings.set(count);
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
                _ => self.run(&call).await,
            }
        })
    }
}
