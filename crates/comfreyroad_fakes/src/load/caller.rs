use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::{sleep, timeout_at};
use cyper::Response;
use futures_util::StreamExt;
use serde_json::Value;

use super::{Balancer, Events, Job, Kind, Outcome, Verdict};
use crate::answer::Quality;
use crate::time::millis;
use crate::{Error, Result};

/// Time that a caller waits beyond the deadline before it gives up.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// Delay before a retry when the refusal names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Client of the system that sends requests, retries them and checks the answers.
pub struct Caller {
    client: cyper::Client,
    balancer: Rc<Balancer>,
    retries: u32,
    delay: Duration,
    retry_broken: bool,
}

/// Result of sending a request once.
#[derive(Debug, Default)]
struct Attempt {
    verdict: Verdict,
    status: u16,
    code: Option<String>,
    retry_after: Option<Duration>,
    is_final: bool,
    version: String,
    token: Option<String>,
    text: String,
    first_at: Option<Instant>,
}

impl Caller {
    /// Creates a caller that sends through a balancer.
    pub fn new(balancer: Rc<Balancer>, retries: u32) -> Result<Self> {
        let client = cyper::Client::builder()
            .no_proxy()
            .build()
            .map_err(|source| Error::Call {
                peer: "any".to_owned(),
                source,
            })?;
        Ok(Self {
            client,
            balancer,
            retries,
            delay: Duration::ZERO,
            retry_broken: false,
        })
    }

    /// Adds a one-way delay between the caller and the system.
    #[must_use]
    pub fn with_delay(self, delay: Duration) -> Self {
        Self { delay, ..self }
    }

    /// Sets whether chat requests whose answers broke off are sent again.
    #[must_use]
    pub fn with_broken_retries(self, retry_broken: bool) -> Self {
        Self {
            retry_broken,
            ..self
        }
    }

    /// Sends a request until it is answered or no retry is allowed any more.
    pub async fn run(&self, job: Job, started_at: Instant) -> Outcome {
        let arrived_at = Instant::now();
        let deadline = arrived_at + job.timeout;
        let mut codes = Vec::new();
        let mut sent = 0;
        let last = loop {
            sent += 1;
            let attempt = self.attempt(&job, sent, deadline).await;
            codes.extend(attempt.code.clone());
            let should_retry = match attempt.verdict {
                Verdict::RefusedNotRun => true,
                Verdict::RefusedMaybe => job.may_repeat(),
                Verdict::Broken => self.retry_broken && job.is_chat(),
                Verdict::Whole | Verdict::Wrong => false,
            };
            let delay = attempt.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
            if !should_retry
                || attempt.is_final
                || sent > self.retries
                || Instant::now() + delay >= deadline
            {
                break attempt;
            }
            sleep(delay).await;
        };
        let ended_at = Instant::now();
        let answered = last.verdict == Verdict::Whole && job.is_chat();
        let quality = Quality::from_text(&last.text).filter(|_| answered);
        let mut session = job.session.clone();
        let moved = last.verdict == Verdict::Whole && session.record_version(&last.version);
        session.token = last.token.or(session.token);
        if last.verdict == Verdict::Whole {
            session
                .messages
                .push(crate::chat::Message::new("assistant", last.text));
        }
        Outcome {
            id: job.id,
            at_ms: millis(arrived_at.duration_since(started_at)),
            kind: job.kind,
            customer: job.customer.name,
            verdict: last.verdict,
            status: last.status,
            codes,
            version: (!last.version.is_empty()).then_some(last.version),
            model: (!job.chat.model.is_empty()).then_some(job.chat.model),
            quality,
            tokens: if answered { job.chat.max_tokens } else { 0 },
            sent,
            first: last.first_at.map(|at| at.duration_since(arrived_at)),
            total: (last.verdict == Verdict::Whole).then(|| ended_at.duration_since(arrived_at)),
            late: ended_at > deadline,
            moved,
            session,
        }
    }

    async fn attempt(&self, job: &Job, number: u32, deadline: Instant) -> Attempt {
        let mut attempt = Attempt::default();
        let attempted = timeout_at(deadline + DEADLINE_GRACE, async {
            sleep(self.delay).await;
            match self.send(job, number, deadline).await {
                Ok(response) => attempt.read_response(job, response).await,
                Err(err) => attempt.record_failed_send(&err),
            }
            sleep(self.delay).await;
            attempt.first_at = attempt.first_at.map(|at| at + self.delay);
        });
        if attempted.await.is_err() {
            attempt.code = Some("no_answer_in_time".to_owned());
            // An answer that has begun is broken; without one the request may or may not have run.
            attempt.verdict = if attempt.status == 0 {
                Verdict::RefusedMaybe
            } else {
                Verdict::Broken
            };
        }
        attempt
    }

    async fn send(&self, job: &Job, number: u32, deadline: Instant) -> cyper::Result<Response> {
        let (method, path) = job.target();
        let remaining_ms = millis(deadline.saturating_duration_since(Instant::now()));
        let mut request = self
            .client
            .request(method, format!("http://{}{path}", self.balancer.next()))?
            .header("x-request-id", &job.id)?
            .header("x-deadline-ms", remaining_ms.to_string())?
            .header("x-attempt", number.to_string())?;
        if !job.customer.key.is_empty() {
            request = request.bearer_auth(&job.customer.key)?;
        }
        if let Some(token) = &job.session.token {
            request = request.header("x-session", token)?;
        }
        // Lookups are GET requests, which are idempotent by the definition of HTTP.
        if job.kind != Kind::Lookup {
            let may_repeat = if job.may_repeat() { "yes" } else { "no" };
            request = request.header("x-may-repeat", may_repeat)?;
        }
        if job.kind != Kind::Lookup {
            request = request.json(&job.body())?;
        }
        request.send().await
    }
}

impl Attempt {
    /// Records a failed send: without a connection the request has not run, otherwise it may have.
    fn record_failed_send(&mut self, err: &cyper::Error) {
        let connect_failed = matches!(err, cyper::Error::HyperClient(err) if err.is_connect());
        self.verdict = if connect_failed {
            Verdict::RefusedNotRun
        } else {
            Verdict::RefusedMaybe
        };
        self.code = Some(
            if connect_failed {
                "no_connection"
            } else {
                "no_answer"
            }
            .to_owned(),
        );
    }

    async fn read_response(&mut self, job: &Job, response: Response) {
        let header = |name| {
            let value = response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        self.version = header("x-version").unwrap_or_default();
        self.token = header("x-session");
        self.status = response.status().as_u16();
        if !response.status().is_success() {
            self.read_refusal(response).await;
        } else if job.kind == Kind::Draft {
            self.read_stream(job, response).await;
        } else {
            self.read_whole(job, response).await;
        }
    }

    async fn read_refusal(&mut self, response: Response) {
        let body: Value = response.json().await.unwrap_or_default();
        let error = &body["error"];
        let not_run = error["ran"] == "no";
        self.verdict = if not_run {
            Verdict::RefusedNotRun
        } else {
            Verdict::RefusedMaybe
        };
        let status = self.status;
        self.code = Some(
            error["code"]
                .as_str()
                .map_or_else(|| format!("status_{status}"), str::to_owned),
        );
        self.retry_after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
        // A retry cannot help when the request is malformed or the caller is unauthenticated or not authorised.
        self.is_final = matches!(status, 400 | 401 | 403);
    }

    async fn read_stream(&mut self, job: &Job, mut response: Response) {
        let mut events = Events::default();
        self.verdict = Verdict::Broken;
        while let Some(bytes) = response.next().await {
            let Ok(bytes) = bytes else {
                self.code = Some("stream_broken".to_owned());
                return;
            };
            events.push(&bytes);
            if self.first_at.is_none() && events.has_token() {
                self.first_at = Some(Instant::now());
            }
        }
        if !events.is_done() {
            self.code = Some("stream_not_done".to_owned());
            return;
        }
        self.verdict = Verdict::Wrong;
        if let Some(text) = events.text().filter(|text| job.is_answered_by(text)) {
            self.verdict = Verdict::Whole;
            self.text = text.to_owned();
        }
    }

    async fn read_whole(&mut self, job: &Job, response: Response) {
        let Ok(bytes) = response.bytes().await else {
            self.verdict = Verdict::Broken;
            self.code = Some("answer_broken".to_owned());
            return;
        };
        self.first_at = Some(Instant::now());
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let is_correct = if job.is_chat() {
            self.text = body["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            job.is_answered_by(&self.text)
        } else {
            job.is_confirmed_by(&body)
        };
        self.verdict = if is_correct {
            Verdict::Whole
        } else {
            Verdict::Wrong
        };
    }
}
