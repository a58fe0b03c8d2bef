use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_wire::engine::{Load, Order};
use compio::time::sleep;
use futures_util::future::LocalBoxFuture;
use http::StatusCode;
use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};

use super::attempt::{Attempt, ROLE_COST};
use super::breaks::Breaks;
use super::{Cache, Ended, Journal, Orders, Run, Settings};
use crate::answer::{Answer, Quality};
use crate::call::Call;
use crate::chat::{Chat, Prefix};
use crate::gate::{Faults, Gate};
use crate::reply::{self, Body, Reply};
use crate::server::Fake;
use crate::slots::{Refused, Slot, Slots};
use crate::time::{millis, now_ms};
use crate::{AttemptId, Result, VersionId};

/// Wait after the weight store has refused a load.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(250);

/// A model engine.
pub struct Service {
    settings: Settings,
    gate: Gate,
    slots: Rc<Slots>,
    cache: RefCell<Cache>,
    orders: RefCell<Orders>,
    journal: RefCell<Journal>,
    attempts: RefCell<IndexMap<AttemptId, Rc<Cell<bool>>>>,
    bad: RefCell<IndexSet<VersionId>>,
    breaks: Breaks,
    token: Cell<Duration>,
    stalled_until: Rc<Cell<Instant>>,
    report: RefCell<(Instant, Load)>,
}

impl Service {
    /// An engine that starts now.
    #[must_use]
    pub fn new(settings: Settings, rng: fastrand::Rng) -> Self {
        let slots = Rc::new(Slots::new(settings.size.clone()));
        let cache = Cache::new(
            settings.cache_tokens,
            settings.event_lag,
            settings.event_gaps,
            rng,
        );
        Self {
            gate: Gate::default(),
            slots,
            cache: RefCell::new(cache),
            orders: RefCell::new(Orders::new(settings.fencing, &settings.versions)),
            journal: RefCell::default(),
            attempts: RefCell::default(),
            bad: RefCell::default(),
            breaks: Breaks::default(),
            token: Cell::new(settings.token),
            stalled_until: Rc::new(Cell::new(Instant::now())),
            report: RefCell::new((Instant::now(), Load::default())),
            settings,
        }
    }

    /// The answer that this version gives to a conversation, on any engine.
    fn answer(&self, chat: &Chat) -> Answer {
        let answer = Answer::new(chat.hash(), chat.max_tokens);
        if self.bad.borrow().contains(&chat.model) {
            return answer.with_quality(Quality::Bad);
        }
        let part = self.settings.quality.get(&chat.model).copied();
        let quality = Quality::draw(&chat.model, &answer.hash, part.unwrap_or(1.0));
        answer.with_quality(quality)
    }

    async fn chat(self: Rc<Self>, call: &Call) -> Result<Reply> {
        let chat: Chat = match call.json() {
            Ok(chat) => chat,
            Err(err) => return Ok(reply::error(StatusCode::BAD_REQUEST, &err.to_string())),
        };
        if !self.orders.borrow().serves(&chat.model) {
            self.journal.borrow_mut().not_loaded += 1;
            return Ok(reply::error(StatusCode::NOT_FOUND, "version not loaded"));
        }
        let attempt = Attempt::new(Rc::clone(&self), call, chat);
        let cancelled = self
            .attempts
            .borrow_mut()
            .entry(attempt.id.clone())
            .or_default()
            .clone();
        let priority = call.header("x-priority").parse().unwrap_or(1);
        let Ok(slot) = self.take_slot(priority).await else {
            return Ok(reply::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "more than it bears",
            ));
        };
        self.journal
            .borrow_mut()
            .started(call.header("x-request-id"), &attempt.chat.model);
        let (attempt, prefill) = attempt.look_up();
        let answer = self.answer(&attempt.chat);
        let run = Run::new(slot, answer, prefill, self.token_time())
            .with_break(self.breaks.next())
            .with_cancel(cancelled)
            .with_stall(Rc::clone(&self.stalled_until));
        let id = attempt.id.clone();
        let reply = if attempt.chat.stream {
            let (parts, body) = Body::stream();
            compio::runtime::spawn(attempt.stream(run, parts)).detach();
            reply::events(body)
        } else {
            attempt.whole(run, &call.peer).await?
        };
        let reply = reply::with_header(reply, "x-attempt-id", &id);
        Ok(reply::with_header(reply, "x-boot", &self.boot()))
    }

    async fn take_slot(&self, priority: u32) -> Result<Slot, Refused> {
        let slot = self.slots.take(priority).await;
        if let Err(refused) = &slot {
            self.journal.borrow_mut().refused += 1;
            if *refused == Refused::Fell {
                self.cache.borrow_mut().clear();
            }
        }
        slot
    }

    /// Tokens of the prompt that are cached, and the time to read each of the others.
    pub(super) fn look_up(&self, prefixes: &[Prefix]) -> (u32, Duration) {
        let cached = self.cache.borrow_mut().hit(prefixes);
        self.journal.borrow_mut().cached_tokens += u64::from(cached);
        let cost = if self.orders.borrow().role() == "decode" {
            ROLE_COST
        } else {
            1
        };
        (cached, self.settings.prefill * cost)
    }

    /// Notes an answer given to its end; the last prefix is the one with the answer itself.
    pub(super) fn finished(&self, prefixes: &[Prefix]) {
        self.journal.borrow_mut().finished += 1;
        let mut cache = self.cache.borrow_mut();
        for prefix in prefixes.iter().rev().step_by(2).take(2).rev() {
            cache.store(prefix);
        }
    }

    /// Notes a token given by a version.
    pub(super) fn gave(&self, version: &str) {
        self.journal.borrow_mut().gave(version);
    }

    /// Notes an answer that ended before its time.
    pub(super) fn ended(&self, ended: Ended) {
        let mut journal = self.journal.borrow_mut();
        match ended {
            Ended::Broken => journal.broken += 1,
            Ended::Cancelled => journal.cancelled += 1,
        }
    }

    pub(super) fn forget(&self, attempt: &str) {
        self.attempts.borrow_mut().shift_remove(attempt);
    }

    fn boot(&self) -> String {
        format!("{}-{}", self.settings.id, self.slots.boot())
    }

    fn token_time(&self) -> Duration {
        let cost = if self.orders.borrow().role() == "prefill" {
            ROLE_COST
        } else {
            1
        };
        self.token.get() * cost
    }

    fn cancel(&self, call: &Call) -> Reply {
        let body: Value = call.json().unwrap_or_default();
        let attempt = body["attempt"].as_str().unwrap_or_default();
        if let Some(cancelled) = self.attempts.borrow().get(attempt) {
            cancelled.set(true);
        }
        reply::json(StatusCode::OK, &json!({}))
    }

    /// The last load report; it gets a new one only when it is older than the lag.
    fn load(&self) -> Load {
        let now = Instant::now();
        let mut report = self.report.borrow_mut();
        if report.0 <= now {
            *report = (now + self.settings.report_lag, self.current_load());
        }
        report.1.clone()
    }

    fn current_load(&self) -> Load {
        let (running, waiting, slots) = self.slots.counts();
        Load {
            at_ms: now_ms(),
            boot: self.boot(),
            uptime_ms: millis(self.slots.started_at().elapsed()),
            running,
            waiting,
            slots,
            kv_used: self.cache.borrow().used(),
            versions: self.orders.borrow().loaded(),
            role: self.orders.borrow().role().to_owned(),
        }
    }

    fn order(self: &Rc<Self>, call: &Call) -> Reply {
        let order: Order = match call.json() {
            Ok(order) => order,
            Err(err) => return reply::error(StatusCode::BAD_REQUEST, &err.to_string()),
        };
        let fence = order.fence;
        let fetch = match self.orders.borrow_mut().take(order) {
            Ok(fetch) => fetch,
            Err(refused) => {
                self.journal.borrow_mut().orders_refused += 1;
                return reply::json(StatusCode::CONFLICT, &refused);
            }
        };
        self.journal.borrow_mut().orders.push(fence);
        for version in fetch {
            compio::runtime::spawn(Rc::clone(self).fetch(version)).detach();
        }
        reply::json(StatusCode::OK, &self.orders.borrow().state())
    }

    async fn fetch(self: Rc<Self>, version: VersionId) {
        while self.orders.borrow().is_loading(&version) && !self.download(&version).await {
            sleep(WEIGHTS_PAUSE).await;
        }
        sleep(self.settings.load).await;
        self.orders.borrow_mut().fetched(&version);
    }

    /// Gets a version's weights; false when the store refused them or is away.
    async fn download(&self, version: &str) -> bool {
        let Some(store) = &self.settings.weights else {
            return true;
        };
        let url = format!("http://{store}/v1/weights/{version}");
        let Ok(request) = cyper::Client::builder()
            .no_proxy()
            .build()
            .and_then(|client| client.get(url))
        else {
            return false;
        };
        request
            .send()
            .await
            .is_ok_and(|response| response.status().is_success())
    }

    fn kv(&self, call: &Call, prefix: &str) -> Reply {
        if call.method == "GET" {
            return match self.cache.borrow().export(prefix) {
                Some(kv) => reply::bytes(kv),
                None => reply::error(StatusCode::NOT_FOUND, "not cached"),
            };
        }
        if !self.cache.borrow_mut().import(prefix, &call.body) {
            return reply::error(StatusCode::BAD_REQUEST, "not an export");
        }
        reply::json(StatusCode::OK, &json!({}))
    }
}

impl Fake for Service {
    fn gate(&self) -> &Gate {
        &self.gate
    }

    fn journal(&self) -> Value {
        let mut journal = json!(&*self.journal.borrow());
        journal["id"] = self.settings.id.as_str().into();
        journal["falls"] = self.slots.falls().into();
        journal["boot"] = self.boot().into();
        journal
    }

    fn fault(&self, faults: &Faults) {
        if let Some(left) = faults.break_streams {
            self.breaks
                .set(left, faults.break_after.unwrap_or_default());
        }
        if let Some(ms) = faults.stall_ms {
            self.stalled_until
                .set(Instant::now() + Duration::from_millis(ms));
        }
        if let Some(version) = &faults.bad_version {
            self.bad.borrow_mut().insert(version.clone());
        }
        if let Some(version) = &faults.good_version {
            self.bad.borrow_mut().shift_remove(version);
        }
        if let Some(slots) = faults.slots {
            self.slots.resize(slots);
        }
        if let Some(token_us) = faults.token_us {
            self.token.set(Duration::from_micros(token_us));
        }
        if faults.restart {
            self.slots.restart();
            self.cache.borrow_mut().clear();
        }
    }

    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>> {
        Box::pin(async move {
            let prefix = call.path.strip_prefix("/v1/kv/");
            Ok(match (call.target(), prefix) {
                (("POST", "/v1/chat/completions"), _) => return self.chat(&call).await,
                (("POST", "/v1/cancel"), _) => self.cancel(&call),
                (("GET", "/v1/load"), _) => reply::json(StatusCode::OK, &self.load()),
                (("GET", "/v1/cache/events"), _) => reply::json(
                    StatusCode::OK,
                    &self.cache.borrow().events(call.query("from")),
                ),
                (("POST", "/v1/orders"), _) => self.order(&call),
                (("GET", "/v1/orders"), _) => {
                    reply::json(StatusCode::OK, &self.orders.borrow().state())
                }
                (("GET" | "POST", _), Some(prefix)) => self.kv(&call, prefix),
                _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
            })
        })
    }
}
