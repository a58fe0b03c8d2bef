use std::{
    future::poll_fn,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Frame, Incoming};

use super::{
    error::{Cause, Error},
    timer::Timer,
};

/// Reads a received body chunk by chunk. Dropping it before the end closes the connection.
#[derive(Debug)]
pub struct Reader {
    peer: SocketAddr,
    body: Incoming,
    timer: Timer,
    // Whether the last chunk was read after its deadline.
    is_late: bool,
}

impl Reader {
    /// Creates a reader of a body that is received from `peer`.
    pub fn new(peer: SocketAddr, body: Incoming) -> Self {
        Self {
            peer,
            body,
            timer: Timer::default(),
            is_late: false,
        }
    }

    /// Waits until `deadline` for the next chunk. Returns `None` at the regular end of the body.
    pub async fn next_chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = poll_fn(|cx| self.poll_frame(cx, deadline)).await;
            let Some(frame) = frame.transpose()? else {
                return Ok(None);
            };
            // Trailers are ignored.
            if let Ok(chunk) = frame.into_data() {
                return Ok(Some(chunk));
            }
        }
    }

    /// The next frame. One that has arrived is returned also after the deadline, but not one after the other: a peer that sends without
    /// end must not outlast it.
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
        deadline: Instant,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let was_late = self.is_late;
        self.is_late = deadline <= Instant::now();
        if !(was_late && self.is_late) {
            if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
                let error = |error| Error::body(self.peer, Cause::Http(error));
                return Poll::Ready(frame.map(|frame| frame.map_err(error)));
            }
            ready!(self.timer.poll_elapsed(cx, deadline));
        }
        Poll::Ready(Some(Err(Error::body(self.peer, Cause::Deadline))))
    }

    /// Reads the rest of the body, of at most `limit` bytes, until `deadline`.
    pub async fn read_to_end(self, limit: usize, deadline: Instant) -> Result<Bytes, Error> {
        self.read_admitted(limit, deadline, |_| true).await
    }

    /// Reads the rest of the body like [`Reader::read_to_end`]. Fails if `admit` refuses the length read so far, for example
    /// because all bodies together take too much memory.
    pub async fn read_admitted(
        mut self,
        limit: usize,
        deadline: Instant,
        mut admit: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, Error> {
        let Some(first) = self.next_chunk(deadline).await? else {
            return Ok(Bytes::new());
        };
        let mut all = BytesMut::from(first);
        loop {
            if all.len() > limit {
                return Err(Error::body(self.peer, Cause::TooLong(limit)));
            }
            if !admit(all.len()) {
                return Err(Error::body(self.peer, Cause::Memory));
            }
            let Some(chunk) = self.next_chunk(deadline).await? else {
                return Ok(all.freeze());
            };
            all.extend_from_slice(&chunk);
        }
    }
}

/// Reads a complete body of at most `limit` bytes from `peer`, until `deadline`.
pub async fn read_all(
    peer: SocketAddr,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Error> {
    Reader::new(peer, body).read_to_end(limit, deadline).await
}
