//! Listening sockets of the event loop.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compio::runtime::fd::PollFd;
use socket2::{Domain, Protocol, SockAddr, SockFilter, Socket, Type};

use crate::stream::Stream;

/// Maximum number of connections that wait in the kernel to be accepted.
const BACKLOG: i32 = 1024;

/// Pause after a failed accept. Errors such as a lack of file descriptors would otherwise repeat at once.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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

    /// Waits for the next connection. Dropping the future loses no connection. After an error it tries again, as the
    /// connections that wait in the kernel would otherwise be lost.
    pub async fn accept(&self) -> (Stream, SocketAddr) {
        loop {
            let result = match self.try_accept() {
                Ok(Some(accepted)) => return accepted,
                Ok(None) => self.socket.accept_ready().await,
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                log::warn!("accept on {} failed: {error}", self.address);
                compio::time::sleep_until(Instant::now() + ACCEPT_PAUSE).await;
            }
        }
    }

    /// Ignores new attempts to connect, while handshakes under way still end and their connections can be accepted.
    ///
    /// Closing a listener resets the connections that it has not accepted. An ignored caller is refused when it repeats
    /// its attempt after the listener was closed, and so knows that its request was not sent.
    pub fn ignore_attempts(&self) -> io::Result<()> {
        const LOAD_BYTE: u16 = 0x30;
        const AND: u16 = 0x54;
        const SKIP_UNLESS_EQUAL: u16 = 0x15;
        const RETURN: u16 = 0x06;
        /// Offset of the flags in a TCP header, where the filter of a TCP socket begins to read.
        const FLAGS_OFFSET: u32 = 13;
        const SYN: u32 = 0x02;
        const ACK: u32 = 0x10;
        // Classic BPF: drop the first packet of a handshake, pass all others.
        let filter = [
            SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
            SockFilter::new(AND, 0, 0, SYN | ACK),
            SockFilter::new(SKIP_UNLESS_EQUAL, 0, 1, SYN),
            SockFilter::new(RETURN, 0, 0, 0),
            SockFilter::new(RETURN, 0, 0, u32::MAX),
        ];
        self.socket.attach_filter(&filter)
    }

    /// Accepts a connection if one is already waiting.
    pub fn try_accept(&self) -> io::Result<Option<(Stream, SocketAddr)>> {
        let (socket, peer) = loop {
            match self.socket.accept() {
                Ok(accepted) => break accepted,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if is_connection_error(&error) => {}
                Err(error) => return Err(error),
            }
        };
        socket.set_nonblocking(true)?;
        let peer = peer.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Some((Stream::accepted(socket)?, peer)))
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
