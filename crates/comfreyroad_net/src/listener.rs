//! Listening sockets of the event loop.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compio::runtime::fd::PollFd;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use crate::stream::Stream;

/// Maximum number of connections that wait in the kernel to be accepted.
const BACKLOG: i32 = 1024;

/// Pause after a failed accept. Errors such as a lack of file descriptors would otherwise repeat at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening TCP socket.
#[derive(Debug)]
pub struct Listener {
    socket: PollFd<Socket>,
    address: SocketAddr,
}

impl Listener {
    /// Listens on `address`. With port 0 the kernel chooses a port.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let kind = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&SockAddr::from(address))?;
        socket.listen(BACKLOG)?;
        let bound = socket.local_addr()?;
        let address = bound.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self {
            socket: PollFd::new(socket)?,
            address,
        })
    }

    /// The local address, with the port that the kernel chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next connection. Dropping the future loses no connection.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        loop {
            match self.try_accept() {
                Ok(Some(accepted)) => return Ok(accepted),
                Ok(None) => self.socket.accept_ready().await?,
                Err(error) if is_connection_error(&error) => {}
                Err(error) => {
                    log::warn!("accept on {} failed: {error}", self.address);
                    compio::time::sleep_until(Instant::now() + ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Accepts a connection if one is already waiting.
    pub fn try_accept(&self) -> io::Result<Option<(Stream, SocketAddr)>> {
        let (socket, peer) = match self.socket.accept() {
            Ok(accepted) => accepted,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) => return Err(error),
        };
        socket.set_nonblocking(true)?;
        let peer = peer.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Some((Stream::new(socket)?, peer)))
    }
}

/// Whether the error is about a single connection that was lost before it was accepted.
fn is_connection_error(error: &io::Error) -> bool {
    use io::ErrorKind as Kind;
    matches!(
        error.kind(),
        Kind::ConnectionAborted | Kind::ConnectionReset | Kind::Interrupted
    )
}
