use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_wire::engine::{Load, Order};
use compio::time::sleep;
use futures_util::future::LocalBoxFuture;
use http::StatusCode;
use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};

use super::attempt::{Attempt, ROLE_MISMATCH_FACTOR};
use super::breaks::Breaks;
use super::{Cache, Interruption, Journal, Orders, Run, Settings};
use crate::answer::{Answer, Quality};
use crate::call::Call;
use crate::chat::{Chat, Prefix};
use crate::injector::{Faults, Injector};
use crate::reply::{self, Body, Reply};
use crate::server::Fake;
use crate::slots::{Refusal, Slot, Slots};
use crate::time::{millis, now_ms};
use crate::{AttemptId, Result, VersionId};

/// Delay before a failed download from the weight store is retried.
const WEIGHTS_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The model engine service.
pub struct Service {
    settings: Settings,
    injector: Injector,
    slots: Rc<Slots>,
    cache: RefCell<Cache>,
    orders: RefCell<Orders>,
    journal: RefCell<Journal>,
    attempts: RefCell<IndexMap<AttemptId, Rc<Cell<bool>>>>,
    bad_versions: RefCell<IndexSet<VersionId>>,
    breaks: Breaks,
    token_time: Cell<Duration>,
    stalled_until: Rc<Cell<Instant>>,
    report: RefCell<(Instant, Load)>,
}

impl Service {
    /// Creates an engine that starts now.
    #[must_use]
    pub fn new(settings: Settings, rng: fastrand::Rng) -> Self {
        let slots = Rc::new(Slots::new(settings.capacity.clone()));
        let cache = Cache::new(
            settings.cache_tokens,
            settings.event_lag,
            settings.event_gaps,
            rng,
        );
        Self {
            injector: Injector::default(),
            slots,
            cache: RefCell::new(cache),
            orders: RefCell::new(Orders::new(settings.fencing, &settings.versions)),
            journal: RefCell::default(),
            attempts: RefCell::default(),
            bad_versions: RefCell::default(),
            breaks: Breaks::default(),
            token_time: Cell::new(settings.token_time),
            stalled_until: Rc::new(Cell::new(Instant::now())),
            report: RefCell::new((Instant::now(), Load::default())),
            settings,
        }
    }

    /// The answer of the requested version to a conversation.
    ///
    /// It depends on nothing but the version, its quality and the conversation, so every engine returns the same one.
    fn answer(&self, chat: &Chat) -> Answer {
        let answer = Answer::new(chat.hash(), chat.max_tokens);
        if self.bad_versions.borrow().contains(&chat.model) {
            return answer.with_quality(Quality::Bad);
        }
        let good_share = self.settings.good_share.get(&chat.model).copied();
        let quality = Quality::draw(&chat.model, &answer.hash, good_share.unwrap_or(1.0));
        answer.with_quality(quality)
    }

    async fn chat(self: Rc<Self>, call: &Call) -> Result<Reply> {
        let chat: Chat = match call.json() {
            Ok(chat) => chat,
            Err(err) => return Ok(reply::error(StatusCode::BAD_REQUEST, &err.to_string())),
        };
        if !self.orders.borrow().is_loaded(&chat.model) {
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
            .count_start(call.header("x-request-id"), &attempt.chat.model);
        let (attempt, prefill) = attempt.look_up();
        let answer = self.answer(&attempt.chat);
        let run = Run::new(slot, answer, prefill, self.role_token_time())
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
        Ok(reply::with_header(reply, "x-boot", &self.boot_id()))
    }

    async fn take_slot(&self, priority: u32) -> Result<Slot, Refusal> {
        let slot = self.slots.acquire(priority).await;
        if let Err(refusal) = &slot {
            self.journal.borrow_mut().refused += 1;
            if *refusal == Refusal::Overload {
                self.cache.borrow_mut().clear();
            }
        }
        slot
    }

    /// Returns the number of cached prompt tokens and the prefill time per token.
    pub(super) fn look_up(&self, prefixes: &[Prefix]) -> (u32, Duration) {
        let cached = self.cache.borrow_mut().touch_longest(prefixes);
        self.journal.borrow_mut().cached_tokens += u64::from(cached);
        let factor = if self.orders.borrow().role() == "decode" {
            ROLE_MISMATCH_FACTOR
        } else {
            1
        };
        (cached, self.settings.prefill_time * factor)
    }

    /// Records a completed answer and caches its conversation; the last prefix includes the answer itself.
    ///
    /// The prefix two messages shorter, which ends with the previous answer or the system message, is cached as well.
    pub(super) fn record_finished(&self, prefixes: &[Prefix]) {
        self.journal.borrow_mut().finished += 1;
        let mut cache = self.cache.borrow_mut();
        for prefix in prefixes.iter().rev().step_by(2).take(2).rev() {
            cache.store(prefix);
        }
    }

    /// Counts a token generated by a version.
    pub(super) fn count_token(&self, version: &str) {
        self.journal.borrow_mut().count_token(version);
    }

    /// Records an answer that ended before it was complete.
    pub(super) fn record_interruption(&self, interruption: Interruption) {
        let mut journal = self.journal.borrow_mut();
        match interruption {
            Interruption::Broken => journal.broken += 1,
            Interruption::Cancelled => journal.cancelled += 1,
        }
    }

    pub(super) fn remove_attempt(&self, attempt: &str) {
        self.attempts.borrow_mut().shift_remove(attempt);
    }

    fn boot_id(&self) -> String {
        format!("{}-{}", self.settings.id, self.slots.boot())
    }

    fn role_token_time(&self) -> Duration {
        let factor = if self.orders.borrow().role() == "prefill" {
            ROLE_MISMATCH_FACTOR
        } else {
            1
        };
        self.token_time.get() * factor
    }

    fn cancel(&self, call: &Call) -> Reply {
        let body: Value = call.json().unwrap_or_default();
        let attempt = body["attempt"].as_str().unwrap_or_default();
        if let Some(cancelled) = self.attempts.borrow().get(attempt) {
            cancelled.set(true);
        }
        reply::json(StatusCode::OK, &json!({}))
    }

    /// The last load report, refreshed only once it is older than the report lag.
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
            boot: self.boot_id(),
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
        let to_fetch = match self.orders.borrow_mut().apply(order) {
            Ok(to_fetch) => to_fetch,
            Err(rejection) => {
                self.journal.borrow_mut().orders_refused += 1;
                return reply::json(StatusCode::CONFLICT, &rejection);
            }
        };
        self.journal.borrow_mut().orders.push(fence);
        for version in to_fetch {
            compio::runtime::spawn(Rc::clone(self).fetch(version)).detach();
        }
        reply::json(StatusCode::OK, &self.orders.borrow().state())
    }

    async fn fetch(self: Rc<Self>, version: VersionId) {
        while self.orders.borrow().is_loading(&version) && !self.download(&version).await {
            sleep(WEIGHTS_RETRY_DELAY).await;
        }
        sleep(self.settings.load_time).await;
        self.orders.borrow_mut().finish_loading(&version);
    }

    /// Downloads the weights of a version; false when the store refused the download or was unreachable.
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
    fn injector(&self) -> &Injector {
        &self.injector
    }

    fn journal(&self) -> Value {
        let mut journal = json!(&*self.journal.borrow());
        journal["id"] = self.settings.id.as_str().into();
        journal["falls"] = self.slots.crashes().into();
        journal["boot"] = self.boot_id().into();
        journal
    }

    fn apply_faults(&self, faults: &Faults) {
        if let Some(count) = faults.break_streams {
            self.breaks
                .set(count, faults.break_after.unwrap_or_default());
        }
        if let Some(ms) = faults.stall_ms {
            self.stalled_until
                .set(Instant::now() + Duration::from_millis(ms));
        }
        if let Some(version) = &faults.bad_version {
            self.bad_versions.borrow_mut().insert(version.clone());
        }
        if let Some(version) = &faults.good_version {
            self.bad_versions.borrow_mut().shift_remove(version);
        }
        if let Some(slots) = faults.slots {
            self.slots.resize(slots);
        }
        if let Some(token_us) = faults.token_us {
            self.token_time.set(Duration::from_micros(token_us));
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
