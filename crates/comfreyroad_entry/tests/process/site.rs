//! Fake services on the event loop of the test, and an entry as a child process.

use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyroad::record::{Record, Stream};
use comfreyroad_fakes::engine;
use comfreyroad_fakes::server::Server;
use comfreyroad_fakes::slots::Capacity;
use comfreyroad_fakes::{log, port, service, vms};
use comfreyroad_net::body::Body;
use comfreyroad_net::client::{Client, Error, read_all};
use comfreyroad_net::platform::Log;
use comfreyroad_wire::platform::{Kind, State, Vm};
use comfreyroad_wire::record;
use http::{Request, Response};
use hyper::body::Incoming;

/// Timeout of everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The fake services, an entry, and a client.
pub(crate) struct Site {
    pub(crate) client: Client,
    pub(crate) entry: SocketAddr,
    pub(crate) log: Log,
    child: Child,
    _port: port::Lease,
    _servers: Vec<Server>,
}

impl Drop for Site {
    fn drop(&mut self) {
        // The child may have exited already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

impl Site {
    /// Starts two engines, a plain service, the platform and an entry, and waits until the entry is ready.
    pub(crate) async fn start() -> Self {
        let any = "127.0.0.1:0";
        let capacity = Capacity {
            slots: 32,
            cold_slots: 32,
            ..Capacity::default()
        };
        let mut servers = Vec::new();
        let mut list = Vec::new();
        for index in 0..2 {
            let settings = engine::Settings {
                id: format!("eng-{index}"),
                capacity: capacity.clone(),
                versions: vec!["mona@1".into()],
                ..engine::Settings::default()
            };
            let rng = fastrand::Rng::with_seed(index);
            let engine = engine::Service::new(settings.clone(), rng);
            let server = Server::start(any, Rc::new(engine), Duration::ZERO).expect("an engine");
            list.push(vm(settings.id, "drafting", server.address));
            servers.push(server);
        }
        let settings = service::Settings {
            id: "app-0".into(),
            capacity,
            latency: Duration::from_millis(2),
        };
        let app = Server::start(
            any,
            Rc::new(service::Service::new(settings)),
            Duration::ZERO,
        );
        let app = app.expect("a service");
        list.push(vm("app-0".into(), "orders", app.address));
        servers.push(app);
        let log = log::Service::new(log::Settings::default());
        let log = Server::start(any, Rc::new(log), Duration::ZERO).expect("a log");
        let vms = vms::List::new(list, Duration::ZERO);
        let vms = Server::start(any, Rc::new(vms), Duration::ZERO).expect("a VM list");
        let port = port::Lease::acquire().expect("a port");
        let entry = port.address;
        let child = spawn(entry, log.address, vms.address);
        let client = Client::default();
        let site = Self {
            log: Log::new(client.clone(), log.address),
            client,
            entry,
            child,
            _port: port,
            _servers: servers.into_iter().chain([log, vms]).collect(),
        };
        site.publish().await;
        site.wait_until_ready().await;
        site
    }

    async fn publish(&self) {
        let key = blake3::hash(b"secret").to_hex();
        let rules = [
            "format 1 after 0".to_owned(),
            "firm inkwell".into(),
            "zone a state=in".into(),
            "pool drafting kind=engine bears=32 cold=32".into(),
            "pool orders kind=service bears=32 cold=32".into(),
            "version mona@1 pool=drafting cost=100 share=100".into(),
            "route draft models=mona class=draft quality=0".into(),
            "service lookups pool=orders path=/orders class=lookup".into(),
            format!("customer author firm=inkwell key={key} allow=mona@*"),
        ];
        let lines = rules.iter().map(|line| format!("{line} # asked by ada\n"));
        let publish = Record::Publish {
            by: "ada".into(),
            after: 0,
            text: lines.collect::<String>().into(),
        };
        let records = [record::encode(&publish)];
        let appended = self.log.append("rules", &records, deadline()).await;
        appended.expect("the log stores the rules");
    }

    async fn wait_until_ready(&self) {
        let deadline = deadline();
        while self
            .get("/health/ready")
            .await
            .is_none_or(|(status, _)| status != 200)
        {
            assert!(Instant::now() < deadline, "the entry is not ready in time");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        // The upstreams get requests only after their first load reports.
        compio::time::sleep(Duration::from_millis(1_500)).await;
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the child, by the option of `kill`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until the child has exited.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = deadline();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(Instant::now() < deadline, "the entry does not exit");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Status and body of a `GET` request to the entry; `None` if there is no response.
    pub(crate) async fn get(&self, path: &str) -> Option<(u16, Bytes)> {
        let request = Request::get(path).body(Body::default()).expect("a request");
        let answer = self
            .client
            .call(self.entry, request, deadline())
            .await
            .ok()?;
        let status = answer.status().as_u16();
        Some((status, self.read(answer).await.ok()?))
    }

    pub(crate) async fn read(&self, answer: Response<Incoming>) -> Result<Bytes, Error> {
        read_all(self.entry, answer.into_body(), MAX_ANSWER_BYTES, deadline()).await
    }

    /// Requests a streamed answer with a number of tokens.
    pub(crate) async fn chat(&self, id: &str, tokens: u32) -> Result<Response<Incoming>, Error> {
        let body = format!(
            r#"{{"model":"draft","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"{id}"}}]}}"#
        );
        let request = Request::post("/v1/chat/completions")
            .header("authorization", "Bearer secret")
            .header("x-request-id", id)
            .body(Body::full(body))
            .expect("a request");
        self.client.call(self.entry, request, deadline()).await
    }

    /// Reads the records of a stream on the log.
    pub(crate) async fn records(&self, stream: Stream) -> Vec<Record> {
        let page = self
            .log
            .read(stream.name(), 0, 1_000, Instant::now(), deadline())
            .await;
        let records = page.expect("the log answers").records;
        let records = records
            .iter()
            .filter_map(|stored| record::decode(&stored.bytes).ok());
        records.collect()
    }
}

/// Whether a streamed answer has every token exactly once and the end marker.
pub(crate) fn is_complete(body: &[u8], tokens: u32) -> bool {
    let text = String::from_utf8_lossy(body);
    let all = (0..tokens).all(|token| text.matches(&format!("tok{token}-")).count() == 1);
    all && text.ends_with("data: [DONE]\n\n")
}

fn vm(id: String, pool: &str, address: SocketAddr) -> Vm {
    Vm {
        id,
        kind: Kind::Upstream,
        pool: pool.into(),
        zone: "a".into(),
        address: address.to_string(),
        state: State::Live,
    }
}

fn spawn(entry: SocketAddr, log: SocketAddr, vms: SocketAddr) -> Child {
    let key = "01".repeat(32);
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyroad-entry"));
    command
        .args(["--entry", "e1", "--zone", "a", "--session-keys", &key])
        .args(["--listen", &entry.to_string(), "--log", &log.to_string()])
        .args(["--vms", &vms.to_string(), "--drain-notice-ms", "400"])
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command.spawn().expect("the entry starts")
}
