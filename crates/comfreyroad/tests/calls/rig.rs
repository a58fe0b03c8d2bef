//! Test harness: one entry with an in-memory log, upstreams whose responses the test scripts, and a manual clock.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::action::Send;
use comfreyroad::clock::Now;
use comfreyroad::event::{Failure, LogEntry, Page, Signal};
use comfreyroad::frame::Frame;
use comfreyroad::id::{CallId, Offset};
use comfreyroad::mechanism::Mechanism;
use comfreyroad::note::Note;
use comfreyroad::record::{Record, Stream};
use comfreyroad::request::{Chat, Head, Request, Service, Target, Usage};
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use comfreyroad::{Action, Entry, Event, Refusal, Settings};
use indexmap::IndexMap;

/// Interval between two ticks.
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// The part of a response that a caller has received.
#[derive(Debug, Default)]
pub(crate) struct Response {
    pub(crate) status: Option<u16>,
    pub(crate) session: Option<Arc<str>>,
    pub(crate) version: Option<Arc<str>>,
    pub(crate) body: Vec<u8>,
    pub(crate) end: Option<End>,
}

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Finished,
    Broken,
    Refused(Refusal),
}

/// Parameters of a test request.
#[derive(Clone, Debug)]
pub(crate) struct Params {
    pub(crate) id: String,
    pub(crate) customer: u8,
    pub(crate) session: Option<Arc<str>>,
    pub(crate) target: Target,
    pub(crate) deadline: Duration,
    pub(crate) body: usize,
}

impl Params {
    pub(crate) fn chat(id: impl Into<String>, model: &str) -> Self {
        let target = Target::Chat(Chat {
            model: model.into(),
            stream: true,
            max_tokens: 4,
            prompt_tokens: 10,
            prefix: 1,
        });
        Self::new(id, target)
    }

    pub(crate) fn service(id: impl Into<String>, method: &str, path: &str) -> Self {
        let target = Target::Service(Service {
            method: method.into(),
            path: path.into(),
        });
        Self::new(id, target)
    }

    fn new(id: impl Into<String>, target: Target) -> Self {
        Self {
            id: id.into(),
            customer: 1,
            session: None,
            target,
            deadline: Duration::from_secs(30),
            body: 0,
        }
    }

    pub(crate) fn for_customer(mut self, customer: u8) -> Self {
        self.customer = customer;
        self
    }

    pub(crate) fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    pub(crate) fn in_session(mut self, session: &str) -> Self {
        self.session = Some(session.into());
        self
    }
}

/// The entry under test and its simulated environment.
pub(crate) struct Rig {
    pub(crate) entry: Entry,
    pub(crate) now: Now,
    pub(crate) sends: Vec<Send>,
    pub(crate) cancels: Vec<u64>,
    pub(crate) responses: IndexMap<CallId, Response>,
    pub(crate) notes: Vec<Note>,
    pub(crate) log: IndexMap<Stream, Vec<(SystemTime, Record)>>,
    pub(crate) ready: bool,
    pub(crate) exited: bool,
    pub(crate) sent_frames: Vec<Frame>,
    /// Responses submitted to the rating service.
    pub(crate) rated: Vec<(CallId, Arc<str>)>,
    /// Whether the log accepts appends.
    pub(crate) log_is_up: bool,
    upstreams: Vec<Vm>,
    pending_reads: IndexMap<Stream, Offset>,
    versions: Vec<Arc<str>>,
    generation: u64,
}

impl Rig {
    /// Starts an entry with these rules, `engines` warm inference engines and `apps` warm service upstreams.
    pub(crate) fn new(settings: &Settings, rules: &[&str], engines: usize, apps: usize) -> Self {
        let vm = |id: String, pool: &str| Vm {
            address: format!("{id}:1").into(),
            id: id.into(),
            kind: VmKind::Upstream,
            pool: pool.into(),
            zone: "a".into(),
            state: VmState::Live,
        };
        let engines = (0..engines).map(|index| vm(format!("eng-{index}"), "drafting"));
        let apps = (0..apps).map(|index| vm(format!("app-{index}"), "orders"));
        let mut rig = Self {
            entry: Entry::new(settings),
            now: Now {
                instant: Instant::now() + Duration::from_secs(1_000),
                system: SystemTime::UNIX_EPOCH + Duration::from_secs(1_900_000_000),
            },
            sends: Vec::new(),
            cancels: Vec::new(),
            responses: IndexMap::new(),
            notes: Vec::new(),
            log: IndexMap::new(),
            ready: false,
            exited: false,
            sent_frames: Vec::new(),
            rated: Vec::new(),
            log_is_up: true,
            upstreams: engines.chain(apps).collect(),
            pending_reads: IndexMap::new(),
            versions: ["mona@1", "mona@2", "lisa@1"].map(Into::into).into(),
            generation: 0,
        };
        rig.handle(Event::Started);
        rig.publish(rules);
        rig.advance(200);
        rig
    }

    /// The default rules with the given traffic shares of the two versions, followed by the lines of `more`.
    pub(crate) fn rules(shares: (u32, u32), more: &[&str]) -> Vec<String> {
        let state = |share| if share == 0 { "withdrawn" } else { "active" };
        let mut rules = vec![
            "zone a state=in".to_owned(),
            "pool drafting kind=engine bears=4 cold=4".into(),
            "pool orders kind=service bears=4 cold=4".into(),
            format!(
                "version mona@1 pool=drafting cost=100 share={} state={}",
                shares.0,
                state(shares.0)
            ),
            format!(
                "version mona@2 pool=drafting cost=100 share={} state={}",
                shares.1,
                state(shares.1)
            ),
            "version lisa@1 pool=drafting cost=900 share=100".into(),
            "route draft models=mona class=draft quality=0".into(),
            "route talk models=mona class=interactive quality=0".into(),
            "service bookings pool=orders path=/bookings class=payment".into(),
            "service lookups pool=orders path=/orders class=lookup".into(),
            "firm inkwell".into(),
        ];
        for index in 1..=4 {
            let key = format!("{index:02x}").repeat(32);
            rules.push(format!(
                "customer c{index} firm=inkwell key={key} allow=mona@*,lisa@1"
            ));
        }
        rules.extend(more.iter().map(|line| (*line).to_owned()));
        rules
    }

    /// Starts an entry with the default rules, two engines and two service upstreams.
    pub(crate) fn with_defaults(settings: &Settings) -> Self {
        let rules = Self::rules((50, 50), &[]);
        let rules: Vec<&str> = rules.iter().map(String::as_str).collect();
        Self::new(settings, &rules, 2, 2)
    }

    pub(crate) fn publish(&mut self, rules: &[&str]) {
        let head = format!("format 1 after {} # asked by ada\n", self.generation);
        let lines = rules.iter().map(|line| format!("{line} # asked by ada\n"));
        let record = Record::Publish {
            by: "ada".into(),
            after: self.generation,
            text: std::iter::once(head)
                .chain(lines)
                .collect::<String>()
                .into(),
        };
        self.generation += 1;
        self.append(Stream::Rules, record);
        self.answer_reads();
        // An entry with peers first waits for them to send the rules.
        for _ in 0..100 {
            if self.entry.state().rules.generation() == self.generation {
                return;
            }
            self.advance(50);
        }
        panic!("the published rules did not take effect");
    }

    pub(crate) fn append(&mut self, stream: Stream, record: Record) {
        self.log
            .entry(stream)
            .or_default()
            .push((self.now.system, record));
    }

    /// Answers every pending read immediately; the entry issues the next one on the next tick.
    fn answer_reads(&mut self) {
        for (stream, from) in std::mem::take(&mut self.pending_reads) {
            let log = self.log.entry(stream).or_default();
            let entries = log.iter().enumerate().skip(from as usize);
            let entries: Vec<LogEntry> = entries
                .map(|(offset, (at, record))| LogEntry {
                    offset: offset as u64,
                    at: *at,
                    record: Some(record.clone()),
                })
                .collect();
            let page = Page {
                stream,
                requested_at: self.now.instant,
                from,
                oldest: 0,
                next: log.len() as u64,
                entries,
            };
            self.handle(Event::Read(page));
        }
    }

    /// Advances the clock in steps of one tick.
    pub(crate) fn advance(&mut self, ms: u64) {
        let mut left = Duration::from_millis(ms);
        while !left.is_zero() {
            let step = left.min(TICK);
            left -= step;
            self.now.instant += step;
            self.now.system += step;
            self.answer_reads();
            self.handle(Event::Tick);
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.entry.handle(self.now, event) {
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send(send) => self.sends.push(*send),
            Action::Cancel { attempt, .. } => self.cancels.push(attempt),
            Action::Begin {
                call,
                status,
                session,
                version,
                ..
            } => {
                let response = self.responses.entry(call).or_default();
                assert_eq!(response.status, None, "a response begins only once");
                (response.status, response.session, response.version) =
                    (Some(status), session, version);
            }
            Action::Deliver { call, bytes } => {
                let response = self.responses.entry(call).or_default();
                assert!(response.status.is_some() && response.end.is_none());
                response.body.extend_from_slice(&bytes);
            }
            Action::Finish { call, .. } => self.end(call, End::Finished),
            Action::Abort(call) => self.end(call, End::Broken),
            Action::Refuse { call, refusal } => self.end(call, End::Refused(refusal)),
            Action::Read { stream, from, .. } => _ = self.pending_reads.insert(stream, from),
            Action::Append {
                batch,
                stream,
                records,
            } => {
                if !self.log_is_up {
                    return Some(Event::AppendRefused(batch));
                }
                let first = self.log.entry(stream).or_default().len() as u64;
                for record in records {
                    self.append(stream, (*record).clone());
                }
                return Some(Event::Appended { batch, first });
            }
            Action::ListVms => {
                let (at, vms) = (self.now.system, self.upstreams.clone());
                return Some(Event::Vms { at, vms });
            }
            Action::AskLoad { upstream, .. } => return Some(self.load(upstream)),
            Action::Ready(ready) => self.ready = ready,
            Action::Note(note) => self.notes.push(note),
            Action::Exit => self.exited = true,
            Action::SendFrame { frame, .. } => self.sent_frames.push(*frame),
            Action::Rate { call, version, .. } => self.rated.push((call, version)),
            Action::Reply { .. } => {}
        }
        None
    }

    fn load(&self, upstream: Arc<str>) -> Event {
        let load = Load {
            at: self.now.system,
            boot: "b1".into(),
            uptime: Duration::from_secs(3600),
            running: 0,
            waiting: 0,
            slots: 4,
            kv_used: 0.0,
            versions: self.versions.clone(),
        };
        Event::Load {
            upstream,
            load: Some(load),
        }
    }

    fn end(&mut self, call: CallId, end: End) {
        let response = self.responses.entry(call).or_default();
        assert_eq!(response.end, None, "a response ends only once");
        response.end = Some(end);
    }

    /// Submits a request. Call ids count up from 1 in the order of submission.
    pub(crate) fn call(&mut self, params: &Params) -> CallId {
        let call = self.responses.len() as CallId + 1;
        self.responses.insert(call, Response::default());
        let head = Head {
            call,
            id: params.id.as_str().into(),
            key: [params.customer; 32],
            session: params.session.clone(),
            received: self.now.instant,
            deadline: self.now.instant + params.deadline,
            attempt: 1,
            may_repeat: None,
            target: params.target.clone(),
            body: vec![0; params.body].into(),
        };
        self.handle(Event::Call(Box::new(Request::new(head))));
        call
    }

    /// The response that a caller has received so far.
    pub(crate) fn response(&self, call: CallId) -> &Response {
        &self.responses[&call]
    }

    /// The attempts sent for a call, in order.
    pub(crate) fn sends_of(&self, call: CallId) -> Vec<&Send> {
        self.sends
            .iter()
            .filter(|send| send.head.call == call)
            .collect()
    }

    pub(crate) fn last_attempt(&self, call: CallId) -> u64 {
        self.sends_of(call)
            .last()
            .expect("the call was sent")
            .attempt
    }

    pub(crate) fn signal(&mut self, attempt: u64, signal: Signal) {
        let send = self.sends.iter().find(|send| send.attempt == attempt);
        let upstream = send.expect("the attempt was sent").upstream.clone();
        self.handle(Event::Attempt {
            attempt,
            upstream,
            signal,
        });
    }

    pub(crate) fn head(&mut self, attempt: u64) {
        let send = self.sends.iter().find(|send| send.attempt == attempt);
        let tag = send.map(|send| send.tag.clone());
        let boot = Some("b1".into());
        self.signal(
            attempt,
            Signal::Head {
                status: 200,
                content_type: None,
                tag,
                boot,
            },
        );
    }

    /// Delivers the token at an offset, with the tag of the attempt.
    pub(crate) fn token(&mut self, attempt: u64, offset: u64) {
        let send = self.sends.iter().find(|send| send.attempt == attempt);
        let tag = send.map(|send| send.tag.clone());
        self.signal(
            attempt,
            Signal::Part {
                tag,
                offset,
                length: 1,
                bytes: format!("t{offset} ").into_bytes().into(),
            },
        );
    }

    /// Delivers a part of a service response body, which has no tag.
    pub(crate) fn bytes(&mut self, attempt: u64, offset: u64, text: &str) {
        self.signal(
            attempt,
            Signal::Part {
                tag: None,
                offset,
                length: text.len() as u64,
                bytes: text.as_bytes().into(),
            },
        );
    }

    pub(crate) fn finish(&mut self, attempt: u64, tokens: u32) {
        let usage = Usage {
            completion_tokens: tokens,
            ..Usage::default()
        };
        self.signal(attempt, Signal::End { usage });
    }

    pub(crate) fn fail(&mut self, attempt: u64) {
        let failure = Failure {
            unwritten: None,
            is_busy: true,
            reason: "reset".into(),
        };
        self.signal(attempt, Signal::Failed(failure));
    }

    /// Answers an attempt with a complete response of this many tokens.
    pub(crate) fn answer(&mut self, attempt: u64, tokens: u32) {
        self.head(attempt);
        for offset in 0..tokens {
            self.token(attempt, offset.into());
        }
        self.finish(attempt, tokens);
    }

    pub(crate) fn event_count(&self, number: u16) -> usize {
        self.notes
            .iter()
            .filter(|note| note.kind.number == number)
            .count()
    }
}

/// The text of the first `tokens` tokens.
pub(crate) fn text(tokens: u64) -> Vec<u8> {
    (0..tokens)
        .map(|offset| format!("t{offset} "))
        .collect::<String>()
        .into_bytes()
}

/// The mechanisms to disable, so that a test can run with and without one.
pub(crate) fn disabled_unless(has: bool, mechanism: Mechanism) -> Vec<Mechanism> {
    if has { Vec::new() } else { vec![mechanism] }
}
