use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Deployments of this process so far.
static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Deployments of one process that can run at a time.
const PER_PROCESS: u32 = 8;
/// First and number of the second parts of the addresses used.
const SECOND: (u32, u32) = (16, 224);

/// Addresses of one deployment, which are its own as long as others go by their process id too.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    second: u8,
    third: u8,
}

impl Addresses {
    /// Addresses that no other deployment of this process uses now.
    #[must_use]
    pub fn new() -> Self {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed) % PER_PROCESS;
        let number = std::process::id().wrapping_mul(PER_PROCESS) + taken;
        let (first, count) = SECOND;
        Self {
            second: (first + (number / 256) % count) as u8,
            third: (number % 256) as u8,
        }
    }

    fn at(self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.second, self.third, host), port).into()
    }

    /// The log service.
    #[must_use]
    pub fn log(self) -> SocketAddr {
        self.at(1, 7001)
    }

    /// The VM list.
    #[must_use]
    pub fn vms(self) -> SocketAddr {
        self.at(1, 7002)
    }

    /// The rating service.
    #[must_use]
    pub fn ratings(self) -> SocketAddr {
        self.at(1, 7003)
    }

    /// The weight store.
    #[must_use]
    pub fn weights(self) -> SocketAddr {
        self.at(1, 7004)
    }

    /// An entry, by number.
    #[must_use]
    pub fn entry(self, number: u8) -> SocketAddr {
        self.at(10 + number, 8080)
    }

    /// An upstream, by number.
    #[must_use]
    pub fn upstream(self, number: u8) -> SocketAddr {
        self.at(100 + number, 9000)
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Self::new()
    }
}
