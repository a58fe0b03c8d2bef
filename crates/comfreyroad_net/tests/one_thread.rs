//! One thread does everything, and rests when there is nothing to do. A program of its own, since the usual test
//! harness has threads.

use std::{
    fs,
    net::SocketAddr,
    process::Command,
    time::{Duration, Instant},
};

use comfreyroad_net::{
    body::Body,
    client::{Client, read_all},
    listener::Listener,
    runtime,
    server::Server,
    signal::{self, Signal},
};
use http::{Request, Response};

/// Clock ticks per second in `/proc/self/stat`.
const TICKS: u64 = 100;

/// How long the idle server is watched, in seconds, and the part of a core that it may use there, in thousandths.
const IDLE: u64 = 2;
const IDLE_SHARE: u64 = 5;

fn main() {
    runtime::run(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.address();
        let server = Server::new(listener);
        let handle = server.handle();
        let served = compio::runtime::spawn(
            server.serve(|request, _| async move { answer(request.uri().path()) }),
        );
        let signalled = compio::runtime::spawn(signal::shutdown());

        let client = Client::default();
        call_in_every_way(&client, address).await;
        let files = open_files();
        for _ in 0..20 {
            call_in_every_way(&client, address).await;
        }
        assert_eq!(open_files(), files, "every connection is closed");
        assert_eq!(threads(), 1, "after connects, requests, closes and resets");

        let before = ticks();
        compio::time::sleep(Duration::from_secs(IDLE)).await;
        let used = ticks() - before;
        println!("idle: {used} ticks of {}", IDLE * TICKS);
        assert!(
            used * 1000 <= IDLE * TICKS * IDLE_SHARE,
            "an idle server used {used} ticks"
        );

        handle.stop(soon());
        served.await.unwrap().unwrap();
        let pid = std::process::id().to_string();
        let killed = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(killed.unwrap().success());
        assert_eq!(signalled.await.unwrap().unwrap(), Signal::Terminate);
        assert_eq!(threads(), 1, "after the stop and a signal");
    })
    .unwrap();
    println!("one thread: ok");
}

/// A whole answer, a broken one, one that is given up, and a refused connect.
async fn call_in_every_way(client: &Client, address: SocketAddr) {
    let get = |path: &str| Request::builder().uri(path).body(Body::default()).unwrap();
    let whole = client.call(address, get("/whole"), soon()).await.unwrap();
    read_all(address, whole.into_body(), 100, soon())
        .await
        .unwrap();
    let broken = client.call(address, get("/broken"), soon()).await;
    if let Ok(broken) = broken {
        read_all(address, broken.into_body(), 100, soon())
            .await
            .unwrap_err();
    }
    let _given_up = client.call(address, get("/whole"), soon()).await.unwrap();
    let gone = Listener::bind("127.0.0.1:0".parse().unwrap())
        .unwrap()
        .address();
    client.call(gone, get("/whole"), soon()).await.unwrap_err();
    // Both ends of what was given up are closed by now.
    compio::time::sleep(Duration::from_millis(5)).await;
}

fn answer(path: &str) -> Response<Body> {
    if path == "/whole" {
        return Response::new(Body::full("hello"));
    }
    let (sender, body) = Body::channel();
    compio::runtime::spawn(async move {
        sender.send("part".into()).await.unwrap();
        sender.abort();
    })
    .detach();
    Response::new(body)
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

fn open_files() -> usize {
    fs::read_dir("/proc/self/fd").unwrap().count()
}

fn threads() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("Threads:"));
    line.unwrap().trim().parse().unwrap()
}

/// Processor time of this process, in clock ticks.
fn ticks() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let (_, fields) = stat.rsplit_once(") ").unwrap();
    // After the name come state and ten more fields, then user and system time.
    let times = fields.split(' ').skip(11).take(2);
    times.map(|time| time.parse::<u64>().unwrap()).sum()
}
