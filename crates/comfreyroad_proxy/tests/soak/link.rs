//! TCP proxy on loopback that injects faults into the connections through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    Pass,
    /// Delays each chunk.
    Delay(Duration),
    /// Blocks both directions without closing connections.
    Cut,
    /// Blocks the direction from the server to the client.
    OneWay,
    /// Closes connections immediately.
    Reset,
}

/// Interval at which connections check the mode.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy to one target; clones share its mode.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    // Number of calls of `silence`. Connections opened before the latest call pass no more bytes.
    silence_count: Arc<AtomicU64>,
}

impl Link {
    pub(super) fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Self {
            address: listener.local_addr().unwrap(),
            mode: Arc::new(Mutex::new(Mode::Pass)),
            silence_count: Arc::default(),
        };
        let proxy = link.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                proxy.connect(&stream, target);
            }
        });
        link
    }

    pub(super) fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Silences all open connections permanently: they stay open but pass no more bytes.
    pub(super) fn silence(&self) {
        self.silence_count.fetch_add(1, Ordering::Relaxed);
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    fn connect(&self, client: &TcpStream, target: SocketAddr) {
        if self.mode() == Mode::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let opened_at = self.silence_count.load(Ordering::Relaxed);
        let directions = [(client, &server, false), (&server, client, true)];
        for (from, to, is_response) in directions {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let link = self.clone();
            std::thread::spawn(move || link.copy(from, to, opened_at, is_response));
        }
    }

    /// Copies bytes in one direction until either end closes or the link resets.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, opened_at: u64, is_response: bool) {
        let _ = from.set_read_timeout(Some(CHECK_INTERVAL));
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            let count = match &read {
                Ok(0) => break,
                Ok(count) => *count,
                Err(error) if is_timeout(error) => 0,
                Err(_) => break,
            };
            if !self.wait_to_pass(opened_at, is_response) {
                break;
            }
            if count > 0 && to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Waits until bytes may pass. Returns whether the connection stays open.
    fn wait_to_pass(&self, opened_at: u64, is_response: bool) -> bool {
        loop {
            let is_silent = self.silence_count.load(Ordering::Relaxed) > opened_at;
            match self.mode() {
                Mode::Reset => return false,
                Mode::Cut => {}
                Mode::OneWay if is_response => {}
                _ if is_silent => {}
                Mode::Delay(time) => {
                    std::thread::sleep(time);
                    return true;
                }
                Mode::Pass | Mode::OneWay => return true,
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut)
}
