use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Deployments of this process so far.
static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Deployments of one process that can run at a time.
const MAX_PER_PROCESS: u32 = 8;
/// First and number of the second_octet parts of the addresses used.
const SECOND_OCTETS: (u32, u32) = (16, 224);

/// Addresses of one deployment, which are its own as long as others go by their process id too.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    second_octet: u8,
    third_octet: u8,
}

impl Addresses {
    /// Addresses that no other deployment of this process uses now.
    #[must_use]
    pub fn new() -> Self {
        let allocated = ALLOCATED.fetch_add(1, Ordering::Relaxed) % MAX_PER_PROCESS;
        let number = std::process::id().wrapping_mul(MAX_PER_PROCESS) + allocated;
        let (first, count) = SECOND_OCTETS;
        Self {
            second_octet: (first + (number / 256) % count) as u8,
            third_octet: (number % 256) as u8,
        }
    }

    fn socket(self, host: u8, port: u16) -> SocketAddr {
        (
            Ipv4Addr::new(127, self.second_octet, self.third_octet, host),
            port,
        )
            .into()
    }

    /// The log service.
    #[must_use]
    pub fn log(self) -> SocketAddr {
        self.socket(1, 7001)
    }

    /// The VM list.
    #[must_use]
    pub fn vms(self) -> SocketAddr {
        self.socket(1, 7002)
    }

    /// The rating service.
    #[must_use]
    pub fn ratings(self) -> SocketAddr {
        self.socket(1, 7003)
    }

    /// The weight store.
    #[must_use]
    pub fn weights(self) -> SocketAddr {
        self.socket(1, 7004)
    }

    /// An entry, by number.
    #[must_use]
    pub fn entry(self, number: u8) -> SocketAddr {
        self.socket(10 + number, 8080)
    }

    /// An upstream, by number.
    #[must_use]
    pub fn upstream(self, number: u8) -> SocketAddr {
        self.socket(100 + number, 9000)
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Self::new()
    }
}
