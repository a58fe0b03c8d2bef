//! A process that is short of processor time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fastrand::Rng;
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};

use super::caller::SLACK;

/// Cycle of running and not running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Duty {
    pub(super) runs: Duration,
    pub(super) rests: Duration,
}

impl Duty {
    /// Returns a random cycle: many short rests, or fewer ones that are shorter than a freeze.
    pub(super) fn random(rng: &mut Rng) -> Self {
        let (runs, rests) = if rng.bool() {
            let runs = rng.u64(20..50);
            (runs, 100 - runs)
        } else {
            (rng.u64(50..300), rng.u64(300..900))
        };
        Self {
            runs: Duration::from_millis(runs),
            rests: Duration::from_millis(rests),
        }
    }

    /// Whether a process may rest for longer than the invariants with time bounds allow for.
    pub(super) fn has_long_rests(self) -> bool {
        self.rests > SLACK
    }
}

/// Stops and continues a process again and again until dropped. The process then runs.
#[derive(Debug)]
pub(super) struct Starvation {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Starvation {
    pub(super) fn start(id: Pid, duty: Duty, until: Instant) -> Self {
        // Unlike the id, it never stands for another process.
        let process = pidfd_open(id, PidfdFlags::empty()).expect("the process is running");
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = is_over.clone();
        let thread = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) && Instant::now() < until {
                let _ = pidfd_send_signal(&process, Signal::STOP);
                std::thread::sleep(duty.rests);
                let _ = pidfd_send_signal(&process, Signal::CONT);
                std::thread::sleep(duty.runs);
            }
        });
        Self {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for Starvation {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The thread has no step that fails.
            let _ = thread.join();
        }
    }
}
