use std::{
    cell::{Cell, RefCell},
    io,
    task::Waker,
};

use super::progress::Progress;

/// Reads in succession after which a stream lets other tasks run: hyper reads on for as long as bytes arrive that it skips, such as
/// the zeros before the size of a chunk.
const MAX_SUCCESSIVE_READS: u32 = 4;

/// What a stream waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    Read,
    Write,
}

/// State shared by a stream and its handles.
#[derive(Debug, Default)]
pub(super) struct Shared {
    // Whether readiness is being waited for. If it is not taken when it comes, the next wait ends at once, and a call is made in
    // vain.
    pub(super) waits_to_read: Cell<bool>,
    pub(super) waits_to_write: Cell<bool>,
    // Whether the last read took all that had arrived.
    pub(super) is_drained: Cell<bool>,
    pub(super) written: Cell<u64>,
    // Reads since the stream last had no bytes or let other tasks run.
    pub(super) reads: Cell<u32>,
    // Bytes that may still be read before reads fail, if there is a limit.
    pub(super) readable: Cell<Option<usize>>,
    pub(super) is_reset: Cell<bool>,
    pub(super) upload: Cell<Progress>,
    // Wakes the task that waits for the stream.
    pub(super) waker: RefCell<Option<Waker>>,
}

impl Shared {
    pub(super) fn is_waiting(&self, direction: Direction) -> &Cell<bool> {
        match direction {
            Direction::Read => &self.waits_to_read,
            Direction::Write => &self.waits_to_write,
        }
    }

    /// Sets the task that a reset wakes.
    pub(super) fn register(&self, waker: &Waker) {
        let mut known = self.waker.borrow_mut();
        if known.as_ref().is_none_or(|it| !it.will_wake(waker)) {
            *known = Some(waker.clone());
        }
    }

    /// Counts a read. Returns true, and starts anew, if other tasks must run before it.
    pub(super) fn must_yield(&self) -> bool {
        let reads = self.reads.get();
        let is_due = reads >= MAX_SUCCESSIVE_READS;
        self.reads.set(if is_due { 0 } else { reads + 1 });
        is_due
    }

    /// Counts bytes that were read. Fails if they exceed the limit, or at the end of the stream before a request was sent.
    pub(super) fn count_read(&self, bytes: usize) -> io::Result<()> {
        // A peer that closes the connection while it has not read everything resets it, and the reset may come after the FIN. Without
        // a length, what has arrived of the response would pass for all of it.
        if bytes == 0 && self.upload.get() != Progress::Sent {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the connection ended before the request was sent",
            ));
        }
        let Some(readable) = self.readable.get() else {
            return Ok(());
        };
        if bytes > readable {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the response is too long",
            ));
        }
        self.readable.set(Some(readable - bytes));
        Ok(())
    }
}
