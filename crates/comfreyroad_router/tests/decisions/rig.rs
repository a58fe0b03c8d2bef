//! Test rig: a router with a manual clock and simulated store and peers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad_router::configuration::{
    Configuration, Customer, Idempotency, Limits, Route, Service, Split, Warmup,
};
use comfreyroad_router::filter::place::Backpressure;
use comfreyroad_router::frame::{Frame, Peer};
use comfreyroad_router::record::{Content, Record, Topic};
use comfreyroad_router::request::{Head, Part, Placed, Planned, Retrying, Returned, Sent};
use comfreyroad_router::upstream::{Registration, Stage};
use comfreyroad_router::{Action, Event, Refusal, Request, Router, Settings, answer};

pub(super) const SECOND: Duration = Duration::from_secs(1);
pub(super) const MS: Duration = Duration::from_millis(1);

/// A router with its own clock and store.
pub(super) struct Rig {
    pub(super) router: Router,
    pub(super) now: Now,
    pub(super) actions: Vec<Action>,
    pub(super) offset: u64,
}

pub(super) fn peer(name: &str, zone: &str) -> Peer {
    Peer {
        entry: name.into(),
        address: format!("{name}:7340").into(),
        zone: zone.into(),
        incarnation: 1,
        heartbeat: 1,
        millicores: 1000,
    }
}

pub(super) fn settings(name: &str) -> Settings {
    Settings {
        own: peer(name, "a"),
        zone_count: 1,
        retry_ratio: 0.9,
        retry_slack: 54.0,
        exposure_share: 0.15,
        exposure_slack: 30.0,
        cold_multiplier: 1.5,
        cold_slack: 5.0,
        ..Settings::default()
    }
}

pub(super) fn route(id: &str, idempotency: Idempotency) -> Route {
    Route {
        id: id.into(),
        host: "host.example".into(),
        prefix: format!("/{id}/").into(),
        idempotency,
        is_streaming: idempotency == Idempotency::Resumable,
        is_public: false,
        split: Split::single("pool".into()),
        timeout: 20 * SECOND,
        latency_objective: SECOND,
        max_event_gap: Some(SECOND),
        priority: 1,
        max_attempts: 3,
        models: Vec::new(),
    }
}

/// A configuration with the routes `once`, `again` and `stream` of one pool, and a customer with the key `key`.
pub(super) fn configuration(generation: u64) -> Configuration {
    let service = Service {
        id: "pool".into(),
        max_connections: 360,
        warmup: Warmup {
            requests_per_second: 16.0,
        },
    };
    let mut stream = route("stream", Idempotency::Resumable);
    stream.models = vec!["small".into(), "large".into()];
    Configuration {
        generation,
        routes: vec![
            Arc::new(route("once", Idempotency::Once)),
            Arc::new(route("again", Idempotency::Idempotent)),
            Arc::new(stream),
        ],
        services: [("pool".into(), Arc::new(service))].into_iter().collect(),
        limits: Limits::default(),
        customers: Some(vec![Customer {
            id: "customer".into(),
            api_keys: vec!["key".into()],
            priority: None,
        }]),
    }
}

pub(super) fn registration(version: &str) -> Registration {
    Registration {
        pool: "pool".into(),
        address: "10.0.0.1:80".into(),
        zone: "a".into(),
        version: version.into(),
        slots: 64,
        stage: Stage::Ready,
        cold_for: Duration::ZERO,
        models: Vec::new(),
        incarnation: 1,
        sequence: 1,
    }
}

pub(super) fn head(now: Now, route: &str, id: &str) -> Head {
    Head {
        id: id.into(),
        host: "host.example".into(),
        path: format!("/{route}/x").into(),
        key: Some("key".into()),
        received_at: now.instant,
        deadline: Some(now.instant + 10 * SECOND),
        model: (route == "stream").then(|| "*".into()),
        prompt: Vec::new(),
        expected_output_tokens: None,
        max_output_tokens: None,
        last_event_id: None,
        session: None,
    }
}

pub(super) fn prompt(parts: &[(&str, u32)]) -> Vec<Part> {
    let part = |(id, tokens): &(&str, u32)| Part {
        id: (*id).into(),
        tokens: *tokens,
    };
    parts.iter().map(part).collect()
}

/// The head of a good answer to a request.
pub(super) fn good_answer(request: &Request<Sent>) -> answer::Head {
    answer::Head {
        status: 200,
        request_id: Some(request.head().id.clone()),
        is_signed: true,
        is_rejection: false,
        load: None,
        cold_until: None,
        rate_limit: answer::Statement::Absent,
        leaving: answer::Statement::Absent,
        retry_after: answer::Statement::Absent,
        confidence: None,
    }
}

impl Rig {
    /// A router that has just started, without any records.
    pub(super) fn empty(name: &str) -> Self {
        Self::empty_with(&settings(name))
    }

    fn empty_with(settings: &Settings) -> Self {
        let mut rig = Self {
            router: Router::new(settings),
            now: Now {
                instant: Instant::now(),
                system: SystemTime::now(),
            },
            actions: Vec::new(),
            offset: 0,
        };
        rig.raise(Event::Started);
        rig
    }

    /// A router with a configuration and two upstreams, `u1` and `u2`.
    pub(super) fn serving(name: &str) -> Self {
        Self::serving_with(&settings(name))
    }

    /// As above, with other settings.
    pub(super) fn serving_with(settings: &Settings) -> Self {
        let mut rig = Self::empty_with(settings);
        rig.list(Topic::Operator, vec![("config", configuration_content(1))]);
        let upstream = |version| Content::Upstream(Box::new(registration(version)));
        let upstreams = vec![("u1", upstream("v1")), ("u2", upstream("v1"))];
        rig.list(Topic::Upstreams, upstreams);
        rig.list(Topic::Status, Vec::new());
        rig
    }

    pub(super) fn raise(&mut self, event: Event) {
        let actions = self.router.handle(self.now, event);
        self.actions.extend(actions);
    }

    pub(super) fn advance(&mut self, time: Duration) {
        self.now.instant += time;
        self.now.system += time;
    }

    /// Advances the clock and raises ticks.
    pub(super) fn run_for(&mut self, time: Duration) {
        let until = self.now.instant + time;
        while self.now.instant < until {
            self.advance(100 * MS);
            self.raise(Event::Tick);
        }
    }

    fn record(&mut self, key: &str, content: Content) -> Record {
        self.offset += 1;
        Record {
            offset: self.offset,
            key: key.into(),
            content,
        }
    }

    /// The last call to the store for a topic.
    pub(super) fn pending_call(&self, topic: Topic) -> Option<u64> {
        self.actions.iter().rev().find_map(|action| match action {
            Action::List(asked, call)
            | Action::Read {
                topic: asked, call, ..
            } if *asked == topic => Some(*call),
            _ => None,
        })
    }

    pub(super) fn list(&mut self, topic: Topic, records: Vec<(&str, Content)>) {
        let call = self.pending_call(topic).expect("a call is pending");
        let records = records.into_iter();
        let records = records
            .map(|(key, content)| self.record(key, content))
            .collect();
        let next = self.offset + 1;
        self.raise(Event::TopicListed {
            topic,
            call,
            records,
            next,
        });
    }

    /// Answers the pending read of a topic with one record.
    pub(super) fn read(&mut self, topic: Topic, key: &str, content: Content) {
        self.run_for(SECOND);
        let call = self.pending_call(topic).expect("a call is pending");
        let records = vec![self.record(key, content)];
        let next = self.offset + 1;
        self.raise(Event::TopicRead {
            topic,
            call,
            records,
            next,
        });
    }

    pub(super) fn admit(&mut self, head: Head) -> Result<Request<Planned>, Refusal> {
        self.router.admit(self.now, Request::new(head))
    }

    /// Admits and places a request.
    pub(super) fn place(&mut self, head: Head) -> Option<Request<Placed>> {
        let planned = self.admit(head).expect("the request is admitted");
        self.router.place(self.now, planned).ok()
    }

    /// Admits, places and sends a request.
    pub(super) fn send(&mut self, head: Head) -> Option<Request<Sent>> {
        let placed = self.place(head)?;
        Some(self.router.send(self.now, placed))
    }

    pub(super) fn resend(&mut self, request: Request<Retrying>) -> Option<Request<Sent>> {
        let placed = self.router.place(self.now, request).ok()?;
        Some(self.router.send(self.now, placed))
    }

    /// Places a request and returns its refusal, if it is refused.
    pub(super) fn refusal(&mut self, returned: Returned) -> Option<Refusal> {
        let refusal = match returned {
            Returned::Planned(request) => self
                .router
                .place(self.now, request)
                .err()
                .as_ref()
                .map(refused),
            Returned::Retrying(request) => self
                .router
                .place(self.now, request)
                .err()
                .as_ref()
                .map(refused),
        };
        refusal.flatten()
    }

    pub(super) fn receive(&mut self, frame: Frame) {
        self.raise(Event::FrameReceived(Rc::new(frame)));
    }
}

fn refused<S>(backpressure: &Backpressure<S>) -> Option<Refusal> {
    match backpressure {
        Backpressure::Refuse(refusal) => Some(*refusal),
        Backpressure::Wait(..) => None,
    }
}

pub(super) fn configuration_content(generation: u64) -> Content {
    Content::Configuration(Arc::new(configuration(generation)))
}

/// A frame with only its sender set.
pub(super) fn frame(name: &str) -> Frame {
    Frame {
        sender: peer(name, "b"),
        store_answer_age: None,
        registration_grace: Duration::ZERO,
        peers: Vec::new(),
        next_offsets: indexmap::IndexMap::new(),
        records: Vec::new(),
        complete_up_to: indexmap::IndexMap::new(),
        complete_from: indexmap::IndexMap::new(),
        rollouts: Vec::new(),
        session_pins: Vec::new(),
        tallies: Vec::new(),
        loads: Vec::new(),
        suspicions: Vec::new(),
        rate_limits: Vec::new(),
        leaving: Vec::new(),
        crashes: Vec::new(),
        answered_parts: Vec::new(),
        usage: Vec::new(),
        zone_usage: Vec::new(),
    }
}
