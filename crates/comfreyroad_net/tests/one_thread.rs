//! The client and the server run on one thread, which uses almost no processor time while idle. The test has no harness,
//! since the standard harness starts threads.

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

/// Unit of the times in `/proc/self/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Time for which the idle server is observed.
const IDLE_SECONDS: u64 = 2;
/// Highest processor use of the idle server, in thousandths of a core.
const MAX_IDLE_PERMILLE: u64 = 5;

fn main() {
    runtime::run(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.address();
        let server = Server::new(listener);
        let handle = server.handle();
        let task = compio::runtime::spawn(
            server.serve(|request, _| async move { answer(request.uri().path()) }),
        );
        let mut signals = signal::Listener::new(&Signal::SHUTDOWN).unwrap();
        let signalled = compio::runtime::spawn(async move { signals.next().await });

        let client = Client::default();
        make_all_calls(&client, address).await;
        let files = open_files();
        for _ in 0..20 {
            make_all_calls(&client, address).await;
        }
        assert_eq!(open_files(), files, "every connection is closed");
        assert_eq!(threads(), 1, "after connects, requests, closes and resets");

        let before = ticks();
        compio::time::sleep(Duration::from_secs(IDLE_SECONDS)).await;
        let used = ticks() - before;
        println!("idle: {used} ticks of {}", IDLE_SECONDS * TICKS_PER_SECOND);
        assert!(
            used * 1000 <= IDLE_SECONDS * TICKS_PER_SECOND * MAX_IDLE_PERMILLE,
            "an idle server used {used} ticks"
        );

        handle.stop(deadline());
        task.await.unwrap();
        let pid = std::process::id().to_string();
        let killed = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(killed.unwrap().success());
        assert_eq!(signalled.await.unwrap().unwrap(), Signal::Terminate);
        assert_eq!(threads(), 1, "after the stop and a signal");
    })
    .unwrap();
    println!("one thread: ok");
}

/// Makes one call each with a complete response, a truncated response, an unread response and a refused connection.
async fn make_all_calls(client: &Client, address: SocketAddr) {
    let get = |path: &str| Request::builder().uri(path).body(Body::default()).unwrap();
    let complete = client
        .call(address, get("/whole"), deadline())
        .await
        .unwrap();
    read_all(address, complete.into_body(), 100, deadline())
        .await
        .unwrap();
    let truncated = client.call(address, get("/broken"), deadline()).await;
    if let Ok(truncated) = truncated {
        read_all(address, truncated.into_body(), 100, deadline())
            .await
            .unwrap_err();
    }
    let _unread = client
        .call(address, get("/whole"), deadline())
        .await
        .unwrap();
    let unused_address = Listener::bind("127.0.0.1:0".parse().unwrap())
        .unwrap()
        .address();
    client
        .call(unused_address, get("/whole"), deadline())
        .await
        .unwrap_err();
    // Waits until both sides have closed the aborted connections.
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

fn deadline() -> Instant {
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
