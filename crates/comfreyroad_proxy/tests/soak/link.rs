//! A loopback proxy that harms the connections through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    Pass,
    /// Each piece waits.
    Delay(Duration),
    /// Nothing passes either way, and nothing is closed.
    Cut,
    /// Nothing comes back.
    OneWay,
    /// Connections are closed at once.
    Reset,
}

/// Time between two looks at the mode.
const PERIOD: Duration = Duration::from_millis(20);

/// A link; clones share its mode.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    // Connections that were opened before the newest of these are silent for good.
    silenced: Arc<AtomicU64>,
}

impl Link {
    pub(super) fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Self {
            address: listener.local_addr().unwrap(),
            mode: Arc::new(Mutex::new(Mode::Pass)),
            silenced: Arc::default(),
        };
        let own = link.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                own.connect(&stream, target);
            }
        });
        link
    }

    pub(super) fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Silences the connections that are open, for good.
    pub(super) fn silence(&self) {
        self.silenced.fetch_add(1, Ordering::Relaxed);
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    fn connect(&self, near: &TcpStream, target: SocketAddr) {
        if self.mode() == Mode::Reset {
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let opened = self.silenced.load(Ordering::Relaxed);
        let ways = [(near, &far, false), (&far, near, true)];
        for (from, to, is_back) in ways {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let own = self.clone();
            std::thread::spawn(move || own.copy(from, to, opened, is_back));
        }
    }

    /// Copies one way until either end closes or the link resets.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, opened: u64, is_back: bool) {
        let _ = from.set_read_timeout(Some(PERIOD));
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            let count = match &read {
                Ok(0) => break,
                Ok(count) => *count,
                Err(error) if is_timeout(error) => 0,
                Err(_) => break,
            };
            if !self.may_pass(opened, is_back) {
                break;
            }
            if count > 0 && to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Waits until bytes may pass; whether the connection lasts.
    fn may_pass(&self, opened: u64, is_back: bool) -> bool {
        loop {
            let is_silent = self.silenced.load(Ordering::Relaxed) > opened;
            match self.mode() {
                Mode::Reset => return false,
                Mode::Cut => {}
                Mode::OneWay if is_back => {}
                _ if is_silent => {}
                Mode::Delay(time) => {
                    std::thread::sleep(time);
                    return true;
                }
                Mode::Pass | Mode::OneWay => return true,
            }
            std::thread::sleep(PERIOD);
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut)
}
