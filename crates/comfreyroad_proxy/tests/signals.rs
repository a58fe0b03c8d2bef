//! Signals that interrupt a busy event loop. The test has no harness, since the signals must reach the thread of the loop.

use std::future::poll_fn;
use std::process::Command;
use std::task::Poll;
use std::time::{Duration, Instant};

use comfreyroad_net::runtime;
use comfreyroad_net::signal::{Listener, Signal};
use rustix::process::{Pid, kill_process};

/// Argument of the process that gets the signals.
const RECEIVER: &str = "receiver";
/// Time in which the signals are sent, and the time between two.
const SENDING: Duration = Duration::from_secs(3);
const INTERVAL: Duration = Duration::from_micros(30);
/// Time for which the receiver is busy, from its start to after the last signal.
const BUSY: Duration = Duration::from_secs(4);
/// Time for the receiver to start, and to exit.
const START: Duration = Duration::from_millis(300);
const EXIT: Duration = Duration::from_secs(15);

/// A handler that called the waker of a task changed the queue of the loop that it interrupted, which then hung.
fn main() {
    if std::env::args().any(|it| it == RECEIVER) {
        return runtime::run(receive()).unwrap();
    }
    let program = std::env::current_exe().unwrap();
    let mut child = Command::new(program).arg(RECEIVER).spawn().unwrap();
    std::thread::sleep(START);
    let id = Pid::from_child(&child);
    let sent_at = Instant::now() + SENDING;
    while Instant::now() < sent_at {
        kill_process(id, rustix::process::Signal::HUP).unwrap();
        std::thread::sleep(INTERVAL);
    }
    let exit_deadline = Instant::now() + EXIT;
    let mut status = None;
    while status.is_none() && Instant::now() < exit_deadline {
        std::thread::sleep(Duration::from_millis(20));
        status = child.try_wait().unwrap();
    }
    let _ = child.kill();
    let _ = child.wait();
    let status = status.expect("the loop should not hang");
    assert!(status.success(), "{status}");
    println!("signals: ok");
}

async fn receive() {
    let mut listener = Listener::new(&[Signal::Hangup]).unwrap();
    compio::runtime::spawn(async move {
        loop {
            assert_eq!(listener.next().await.unwrap(), Signal::Hangup);
        }
    })
    .detach();
    let end = Instant::now() + BUSY;
    while Instant::now() < end {
        let tasks: Vec<_> = (0..32)
            .map(|_| compio::runtime::spawn(yield_now()))
            .collect();
        for task in tasks {
            task.await.unwrap();
        }
    }
}

/// Lets the other tasks run once.
async fn yield_now() {
    let mut is_first = true;
    poll_fn(|cx| {
        if std::mem::take(&mut is_first) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(())
    })
    .await;
}
