//! TCP ports for processes under test, which bind them only after they have been started.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::ops::Range;

/// Ports that leases are taken from. They lie below the ephemeral range, so the system gives them neither to outgoing
/// connections nor to listeners on port 0.
const PORTS: Range<u16> = 10_000..30_000;
/// Distance between the first ports that two processes with successive ids try.
const PROCESS_STRIDE: u32 = 97;
/// Folder of the lock files, within the system's folder for temporary files.
const LOCK_FOLDER: &str = "comfreyroad-ports";

/// The exclusive use of a port among all processes that take leases, until dropped.
///
/// Nobody else is given the port between the lease and the time at which the process under test binds it, nor while that
/// process restarts.
#[derive(Debug)]
pub struct Lease {
    /// Loopback address with the leased port.
    pub address: SocketAddr,
    // Holds the lock of the port.
    _lock: File,
}

impl Lease {
    /// Takes a port that nobody has leased and nobody listens on.
    ///
    /// # Errors
    ///
    /// Fails if no lock file can be created, or if no port is left.
    pub fn acquire() -> io::Result<Self> {
        let folder = std::env::temp_dir().join(LOCK_FOLDER);
        fs::create_dir_all(&folder)?;
        let count = PORTS.len() as u32;
        let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % count;
        for number in 0..count {
            let port = PORTS.start + ((start + number) % count) as u16;
            let lock = File::create(folder.join(port.to_string()))?;
            if lock.try_lock().is_err() {
                continue;
            }
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            // Binding the port to find out would take it for a moment, and longer if another thread forks meanwhile.
            let probe = TcpStream::connect(address);
            if probe.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
                return Ok(Self {
                    address,
                    _lock: lock,
                });
            }
        }
        Err(io::Error::other("all ports for tests are in use"))
    }
}
