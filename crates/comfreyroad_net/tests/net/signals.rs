//! Signals to the process. The default action of a signal that no handler receives ends the test.

use std::{
    pin::pin,
    process::Command,
    time::{Duration, Instant},
};

use comfreyroad_net::{
    runtime,
    signal::{Listener, Signal},
};
use compio::time::timeout_at;
use futures_util::{future::select, poll};

const WAIT: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(50);

fn send() {
    let id = std::process::id().to_string();
    let status = Command::new("kill").args(["-HUP", &id]).status().unwrap();
    assert!(status.success());
}

async fn is_received(listener: &mut Listener, wait: Duration) -> bool {
    let received = timeout_at(Instant::now() + wait, listener.next()).await;
    received.is_ok_and(|signal| signal.unwrap() == Signal::Hangup)
}

/// Between two waits no handler was installed, so that the signal ended the process.
#[test]
fn signal_between_two_waits_is_received_once() {
    runtime::run(async {
        let mut listener = Listener::new(&[Signal::Hangup]).unwrap();
        for _ in 0..3 {
            send();
            compio::time::sleep(SHORT).await;
            assert!(is_received(&mut listener, WAIT).await);
            assert!(!is_received(&mut listener, SHORT).await, "received twice");
        }
        // A wait that is given up before or after the signal loses nothing.
        assert!(poll!(pin!(listener.next())).is_pending());
        send();
        compio::time::sleep(SHORT).await;
        assert_eq!(listener.next().await.unwrap(), Signal::Hangup);
        select(pin!(compio::time::sleep(SHORT)), pin!(listener.next())).await;
        send();
        assert!(is_received(&mut listener, WAIT).await);
    })
    .unwrap();
}
