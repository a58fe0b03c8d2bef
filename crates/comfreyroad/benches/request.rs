//! CPU time of the decisions for one request and of a timer event of an idle entry, by the number of upstreams.
//!
//! ```text
//! cargo bench -p comfreyroad --bench request
//! ```

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::action::Send;
use comfreyroad::clock::Now;
use comfreyroad::event::{LogEntry, Page, Signal};
use comfreyroad::record::{Record, Stream};
use comfreyroad::request::{Chat, Head, Target, Usage};
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use comfreyroad::{Action, Entry, Event, Request, Settings};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Fleet sizes, in number of upstreams.
const UPSTREAMS: [usize; 4] = [16, 100, 500, 2500];
/// Number of tokens in an answer.
const ANSWER_TOKENS: u64 = 100;
/// API key of the customer.
const API_KEY: &[u8] = b"key-bench";

/// An entry with the state of its simulated environment.
struct Harness {
    entry: Entry,
    now: Now,
    calls: u64,
    offset: u64,
}

fn rules() -> String {
    let key = blake3::hash(API_KEY).to_hex();
    [
        "format 1 after 0 # asked by bench",
        "firm bench # asked by bench",
        "zone a state=in # asked by bench",
        "pool models kind=engine bears=8 cold=1 # asked by bench",
        "version mona@1 pool=models cost=1000 share=100 # asked by bench",
        &format!("customer acme firm=bench key={key} allow=mona@* # asked by bench"),
    ]
    .join("\n")
}

impl Harness {
    fn new(upstreams: usize) -> Self {
        let now = Now {
            instant: Instant::now(),
            system: SystemTime::now(),
        };
        let settings = Settings {
            zone: "a".into(),
            ..Settings::default()
        };
        let mut harness = Self {
            entry: Entry::new(&settings),
            now,
            calls: 0,
            offset: 0,
        };
        harness.handle(Event::Started);
        let publish = Record::Publish {
            by: "bench".into(),
            after: 0,
            text: rules().into(),
        };
        harness.deliver_page(Stream::Rules, 0, Some(publish));
        harness.add_upstreams(upstreams);
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.entry.handle(self.now, event)
    }

    /// Delivers a page that has at most one record and ends at the end of the stream.
    fn deliver_page(&mut self, stream: Stream, offset: u64, record: Option<Record>) -> Vec<Action> {
        let at = self.now.system;
        let entries = record.map(|record| LogEntry {
            offset,
            at,
            record: Some(record),
        });
        let entries: Vec<_> = entries.into_iter().collect();
        let next = offset + entries.len() as u64;
        let page = Page {
            stream,
            requested_at: self.now.instant,
            from: offset,
            oldest: 0,
            next,
            entries,
        };
        self.handle(Event::Read(page))
    }

    fn add_upstreams(&mut self, upstreams: usize) {
        let vm = |index: usize| Vm {
            id: format!("eng-{index}").into(),
            kind: VmKind::Upstream,
            pool: "models".into(),
            zone: "a".into(),
            address: "127.0.0.1:9000".into(),
            state: VmState::Live,
        };
        let vms: Vec<Vm> = (0..upstreams).map(vm).collect();
        self.handle(Event::Vms {
            at: self.now.system,
            vms: vms.clone(),
        });
        for vm in vms {
            let load = Load {
                at: self.now.system,
                boot: "b".into(),
                uptime: Duration::from_secs(3600),
                running: 1,
                waiting: 0,
                slots: 8,
                kv_used: 0.5,
                versions: vec!["mona@1".into()],
            };
            self.handle(Event::Load {
                upstream: vm.id,
                load: Some(load),
            });
        }
    }

    fn next_head(&mut self) -> Head {
        self.calls += 1;
        Head {
            call: self.calls,
            id: format!("r-{}", self.calls).into(),
            key: *blake3::hash(API_KEY).as_bytes(),
            session: None,
            received: self.now.instant,
            deadline: self.now.instant + Duration::from_secs(30),
            attempt: 1,
            may_repeat: None,
            target: Target::Chat(Chat {
                model: "mona".into(),
                stream: true,
                max_tokens: ANSWER_TOKENS as u32,
                prompt_tokens: 10,
                prefix: self.calls,
            }),
            body: Arc::from(&b"{}"[..]),
        }
    }

    /// Runs one request from its arrival to its bill.
    fn run_request(&mut self) {
        let head = self.next_head();
        let actions = self.handle(Event::Call(Box::new(Request::new(head))));
        let as_send = |action| match action {
            Action::Send(send) => Some(send),
            _ => None,
        };
        let send = actions
            .into_iter()
            .find_map(as_send)
            .expect("the request is sent to an upstream");
        self.deliver_answer(&send);
        let key = comfreyroad::record::Key {
            customer: "acme".into(),
            request: send.head.id.clone(),
        };
        let bill = comfreyroad::record::Bill {
            key,
            version: send.version,
            tokens: ANSWER_TOKENS,
            cost: 100,
        };
        let offset = self.offset;
        self.offset += 1;
        black_box(self.deliver_page(Stream::Ledger, offset, Some(Record::Bill(bill))));
    }

    fn deliver_answer(&mut self, send: &Send) {
        let tag = Some(send.tag.clone());
        self.deliver_signal(
            send,
            Signal::Head {
                status: 200,
                content_type: None,
                tag: tag.clone(),
                boot: None,
            },
        );
        for offset in 0..ANSWER_TOKENS {
            let bytes = Arc::from(&b"token "[..]);
            self.deliver_signal(
                send,
                Signal::Part {
                    tag: tag.clone(),
                    offset,
                    length: 1,
                    bytes,
                },
            );
        }
        let usage = Usage {
            completion_tokens: ANSWER_TOKENS as u32,
            ..Usage::default()
        };
        self.deliver_signal(send, Signal::End { usage });
    }

    fn deliver_signal(&mut self, send: &Send, signal: Signal) {
        let (attempt, upstream) = (send.attempt, send.upstream.clone());
        black_box(self.handle(Event::Attempt {
            attempt,
            upstream,
            signal,
        }));
    }
}

fn bench_requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request_of_100_tokens");
    for upstreams in UPSTREAMS {
        let mut harness = Harness::new(upstreams);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| harness.run_request());
        });
    }
    group.finish();
}

fn bench_ticks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("idle_tick");
    for upstreams in UPSTREAMS {
        let mut harness = Harness::new(upstreams);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| black_box(harness.handle(Event::Tick)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_requests, bench_ticks);
criterion_main!(benches);
