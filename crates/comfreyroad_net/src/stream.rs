//! TCP connections of the event loop.

mod progress;
mod shared;
mod upload;

use std::{
    cell::RefCell,
    io::{self, IoSlice, Read as _, Write as _},
    net::{Shutdown, SocketAddr},
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, ready},
    time::Duration,
};

use compio::runtime::fd::PollFd;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use self::{
    progress::Progress,
    shared::{Direction, Shared},
};

pub(crate) use self::upload::Upload;

/// Maximum number of bytes per read.
pub(crate) const READ_BYTES: usize = 64 * 1024;

/// Linux error number of a connect that is in progress; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;

/// Time after which a connection that this side opened fails if the peer takes no data. Retransmissions on a lossy link need at
/// least this long.
const CONNECTED_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for an accepted connection. A caller may read slowly; one that reads nothing for so long has given up.
const ACCEPTED_USER_TIMEOUT: Duration = Duration::from_secs(30);

thread_local! {
    // Reads of a thread never overlap, so all its streams share one buffer.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A TCP connection that hyper can read from and write to.
///
/// It waits for readiness and makes non-blocking calls on the socket. compio's own stream would run `connect` and
/// `shutdown` on a thread pool.
#[derive(Debug)]
pub struct Stream {
    socket: Rc<PollFd<Socket>>,
    shared: Rc<Shared>,
}

impl Stream {
    /// Connects to `address`. Dropping the future cancels the attempt.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let kind = Type::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        let pending = match socket.connect(&SockAddr::from(address)) {
            Ok(()) => false,
            Err(error) if is_in_progress(&error) => true,
            Err(error) => return Err(error),
        };
        let stream = Self::new(socket, CONNECTED_USER_TIMEOUT)?;
        if pending {
            stream.socket.write_ready().await?;
            if let Some(error) = stream.socket.take_error()? {
                return Err(error);
            }
        }
        Ok(stream)
    }

    /// Wraps an accepted, non-blocking socket.
    pub(crate) fn accepted(socket: Socket) -> io::Result<Self> {
        Self::new(socket, ACCEPTED_USER_TIMEOUT)
    }

    fn new(socket: Socket, user_timeout: Duration) -> io::Result<Self> {
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(user_timeout))?;
        Ok(Self {
            socket: Rc::new(PollFd::new(socket)?),
            shared: Rc::default(),
        })
    }

    /// A handle that stays usable after hyper takes ownership of the stream.
    pub fn handle(&self) -> Handle {
        Handle {
            socket: Rc::downgrade(&self.socket),
            shared: self.shared.clone(),
        }
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) -> io::Result<()> {
        self.handle().reset()
    }

    fn count_written(&self, bytes: usize) -> usize {
        let written = &self.shared.written;
        written.set(written.get() + bytes as u64);
        bytes
    }

    fn poll_io<T>(
        &self,
        cx: &mut Context<'_>,
        direction: Direction,
        mut call: impl FnMut(&Socket) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        // Takes the readiness that was waited for. The call is made also without it, as a peer may have closed the connection before
        // the event loop learns of it.
        if self.shared.is_waiting(direction).replace(false) {
            let is_ready = self.poll_ready(cx, direction)?.is_ready();
            self.shared.is_waiting(direction).set(!is_ready);
        }
        loop {
            if self.shared.is_reset.get() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            match call(&self.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.poll_until_ready(cx, direction))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_until_ready(&self, cx: &mut Context<'_>, direction: Direction) -> Poll<io::Result<()>> {
        let ready = self.poll_ready(cx, direction);
        self.shared.is_waiting(direction).set(ready.is_pending());
        ready
    }

    fn poll_ready(&self, cx: &mut Context<'_>, direction: Direction) -> Poll<io::Result<()>> {
        self.shared.register(cx.waker());
        match direction {
            Direction::Read => self.socket.poll_read_ready(cx),
            Direction::Write => self.socket.poll_write_ready(cx),
        }
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.shared.must_yield() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // After a short read nothing is left in the socket, so another call would be in vain.
        if self.shared.is_drained.replace(false) && !self.shared.is_reset.get() {
            let ready = self.poll_until_ready(cx, Direction::Read);
            if ready.is_pending() {
                self.shared.reads.set(0);
            }
            ready!(ready)?;
        }
        BUFFER.with_borrow_mut(|buffer| {
            let wanted = cursor.remaining().min(buffer.len());
            let buffer = &mut buffer[..wanted];
            let read = self.poll_io(cx, Direction::Read, |mut socket| socket.read(buffer));
            if read.is_pending() {
                self.shared.reads.set(0);
            }
            let count = ready!(read)?;
            self.shared.is_drained.set(count > 0 && count < wanted);
            self.shared.count_read(count)?;
            cursor.put_slice(&buffer[..count]);
            Poll::Ready(Ok(()))
        })
    }
}

impl Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = self.poll_io(cx, Direction::Write, |mut socket| socket.write(bytes));
        write.map_ok(|count| self.count_written(count))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = self.poll_io(cx, Direction::Write, |mut socket| {
            socket.write_vectored(slices)
        });
        write.map_ok(|count| self.count_written(count))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper has written its buffer.
        if self.shared.upload.get() == Progress::Buffered {
            self.shared.upload.set(Progress::Sent);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A connection that was reset must not send a FIN before the reset.
        if self.shared.is_reset.get() {
            return Poll::Ready(Ok(()));
        }
        match self.socket.shutdown(Shutdown::Write) {
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }
}

/// Inspects or resets a [`Stream`] that hyper owns, without keeping it open.
#[derive(Clone, Debug)]
pub struct Handle {
    socket: Weak<PollFd<Socket>>,
    shared: Rc<Shared>,
}

impl Handle {
    /// Number of bytes written to the socket so far.
    pub fn bytes_written(&self) -> u64 {
        self.shared.written.get()
    }

    /// Begins to send a request's body.
    pub(crate) fn begin_upload(&self) -> Upload {
        Upload::new(self.shared.clone())
    }

    /// Limits the bytes that can be read from now on, or lifts the limit.
    pub(crate) fn set_readable(&self, limit: Option<usize>) {
        self.shared.readable.set(limit);
    }

    /// Whether this side reset the connection.
    pub fn is_reset(&self) -> bool {
        self.shared.is_reset.get()
    }

    /// Makes all pending and later reads and writes of the stream fail. The connection closes with a TCP reset when the
    /// stream is dropped.
    pub fn reset(&self) -> io::Result<()> {
        let Some(socket) = self.socket.upgrade() else {
            return Ok(());
        };
        self.shared.is_reset.set(true);
        if let Some(waker) = self.shared.waker.take() {
            waker.wake();
        }
        socket.set_linger(Some(Duration::ZERO))
    }
}

/// Whether a `connect` that returned `error` continues in the background.
fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(EINPROGRESS)
}
