use std::{net::SocketAddr, time::Instant};

use bytes::{Bytes, BytesMut};
use compio::time::timeout_at;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::error::{Cause, Error};

/// Reads a received body chunk by chunk. Dropping it before the end closes the connection.
#[derive(Debug)]
pub struct Reader {
    peer: SocketAddr,
    body: Incoming,
}

impl Reader {
    /// Creates a reader of a body that is received from `peer`.
    pub fn new(peer: SocketAddr, body: Incoming) -> Self {
        Self { peer, body }
    }

    /// Waits until `deadline` for the next chunk. Returns `None` at the regular end of the body.
    pub async fn next_chunk(&mut self, deadline: Instant) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = timeout_at(deadline, self.body.frame())
                .await
                .map_err(|_| Error::body(self.peer, Cause::Deadline))?;
            let Some(frame) = frame else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| Error::body(self.peer, Cause::Http(error)))?;
            // Trailers are ignored.
            if let Ok(chunk) = frame.into_data() {
                return Ok(Some(chunk));
            }
        }
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
