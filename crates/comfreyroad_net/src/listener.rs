//! Listening sockets on the one loop.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compio::runtime::fd::PollFd;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use crate::stream::Stream;

/// Connections that the kernel keeps until they are accepted.
const BACKLOG: i32 = 1024;

/// Pause after an error such as a lack of file descriptors, which would otherwise repeat at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening TCP socket.
#[derive(Debug)]
pub struct Listener {
    socket: PollFd<Socket>,
    address: SocketAddr,
}

impl Listener {
    /// Listens on `address`; port 0 lets the kernel choose.
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

    /// The address that it listens on, with the port that was chosen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next connection. Dropping the future loses none.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        loop {
            match self.try_accept() {
                Ok(Some(accepted)) => return Ok(accepted),
                Ok(None) => self.socket.accept_ready().await?,
                Err(error) if is_connection_error(&error) => {}
                Err(error) => {
                    log::warn!("accept on {}: {error}", self.address);
                    compio::time::sleep_until(Instant::now() + ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// A connection that is already there, if any.
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

/// Whether the error concerns a connection that was lost before it was accepted.
fn is_connection_error(error: &io::Error) -> bool {
    use io::ErrorKind as Kind;
    matches!(
        error.kind(),
        Kind::ConnectionAborted | Kind::ConnectionReset | Kind::Interrupted
    )
}
