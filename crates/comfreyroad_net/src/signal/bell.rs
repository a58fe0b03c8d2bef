//! Wakes the event loop from a signal handler.

use std::{
    io::{self, Read, Write},
    os::unix::net::UnixStream,
    sync::Arc,
    task::{Wake, Waker},
};

use compio::runtime::fd::PollFd;

/// A pair of sockets: its waker writes a byte to one, and the event loop waits for the other.
///
/// The handler may interrupt the loop anywhere, also while the loop changes its queue of tasks. So it must not call the
/// waker of a task, which changes that queue.
#[derive(Debug)]
pub(super) struct Bell {
    reader: PollFd<UnixStream>,
    waker: Waker,
}

impl Bell {
    pub(super) fn new() -> io::Result<Self> {
        let (reader, writer) = UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        writer.set_nonblocking(true)?;
        Ok(Self {
            reader: PollFd::new(reader)?,
            waker: Arc::new(Ringer(writer)).into(),
        })
    }

    pub(super) fn waker(&self) -> &Waker {
        &self.waker
    }

    /// Waits until the waker was called after the last [`Self::reset`].
    pub(super) async fn rung(&self) -> io::Result<()> {
        self.reader.read_ready().await
    }

    /// Forgets the calls so far.
    pub(super) fn reset(&self) -> io::Result<()> {
        let mut reader: &UnixStream = &self.reader;
        loop {
            match reader.read(&mut [0; 64]) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// The end that is written to. It only uses calls that a signal handler may make.
#[derive(Debug)]
struct Ringer(UnixStream);

impl Wake for Ringer {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        // Fails only if the pair is full, and then the reader is awake already.
        let _ = (&self.0).write(&[0]);
    }
}
