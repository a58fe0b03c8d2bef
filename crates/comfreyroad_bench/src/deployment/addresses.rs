use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of deployments created by this process.
static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Maximum number of concurrent deployments of one process.
const MAX_PER_PROCESS: u32 = 8;
/// First value and number of values of the second octet of the addresses.
const SECOND_OCTETS: (u32, u32) = (16, 224);

/// Loopback addresses of one deployment, derived from the process id so that concurrent processes do not collide.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    second_octet: u8,
    third_octet: u8,
}

impl Addresses {
    /// Allocates addresses that no other running deployment of this process uses.
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

    /// Address of the log service.
    #[must_use]
    pub fn log(self) -> SocketAddr {
        self.socket(1, 7001)
    }

    /// Address of the VM list.
    #[must_use]
    pub fn vms(self) -> SocketAddr {
        self.socket(1, 7002)
    }

    /// Address of the rating service.
    #[must_use]
    pub fn ratings(self) -> SocketAddr {
        self.socket(1, 7003)
    }

    /// Address of the weight store.
    #[must_use]
    pub fn weights(self) -> SocketAddr {
        self.socket(1, 7004)
    }

    /// Address of an entry, by number.
    #[must_use]
    pub fn entry(self, number: u8) -> SocketAddr {
        self.socket(10 + number, 8080)
    }

    /// Address of an upstream, by number.
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
