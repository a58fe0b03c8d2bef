use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use comfreyroad_wire::platform as wire;
use data_encoding::BASE64;
use http::StatusCode;

use crate::client::{self, Client, Error, Sent};

/// Position of a record in a stream.
pub type Offset = u64;

/// A client of the log service.
#[derive(Clone)]
pub struct Log {
    client: Client,
    address: SocketAddr,
}

impl Log {
    /// Creates a client of the service at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Appends records to a stream atomically: either all of them or none.
    pub async fn append(
        &self,
        stream: &str,
        records: &[Vec<u8>],
        deadline: Instant,
    ) -> Result<wire::Appended, AppendError> {
        let message = wire::Append {
            records: records.iter().map(|record| BASE64.encode(record)).collect(),
        };
        let path = format!("/v1/streams/{stream}/append");
        let response = client::post(&self.client, self.address, &path, &message, deadline).await?;
        let status = response.status();
        if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(AppendError::NotAppended {
                reason: Error::status(self.address, status),
                retry_at: client::retry_after(response.headers()),
            });
        }
        // After a response that is neither a rejection nor valid, the records may or may not be in the stream.
        client::parse(self.address, &response).map_err(AppendError::Unclear)
    }

    /// Reads at most `limit` records from offset `from` on. If there are none yet, the service waits until `wait` for
    /// one (long polling).
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Instant,
        deadline: Instant,
    ) -> Result<Page, Error> {
        let wait_ms = wait.saturating_duration_since(Instant::now()).as_millis();
        let path = format!("/v1/streams/{stream}/read?from={from}&limit={limit}&wait_ms={wait_ms}");
        let response = client::get(&self.client, self.address, &path, deadline).await?;
        let page: wire::Page = client::parse(self.address, &response)?;
        let records = page.records.iter().map(|stored| self.record(stored));
        Ok(Page {
            oldest: page.oldest,
            next: page.next,
            records: records.collect::<Result<_, _>>()?,
        })
    }

    fn record(&self, stored: &wire::Record) -> Result<Record, Error> {
        let bytes = BASE64
            .decode(stored.body.as_bytes())
            .map_err(|error| Error::body(self.address, error.into()))?;
        Ok(Record {
            offset: stored.offset,
            at: SystemTime::UNIX_EPOCH + Duration::from_millis(stored.at_ms),
            bytes,
        })
    }
}

/// An append that failed.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// The records are certainly not in the stream.
    #[error("records not appended: {reason}")]
    NotAppended {
        /// Response of the service, or why it was not reached.
        #[source]
        reason: Error,
        /// Earliest time for a retry, if the service gave one.
        retry_at: Option<Instant>,
    },
    /// The records may or may not be in the stream.
    #[error("append unclear: {0}")]
    Unclear(#[source] Error),
}

impl From<Error> for AppendError {
    fn from(error: Error) -> Self {
        match error.sent {
            Sent::No => Self::NotAppended {
                reason: error,
                retry_at: None,
            },
            Sent::Maybe => Self::Unclear(error),
        }
    }
}

/// A page of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest record that the service retains.
    pub oldest: Offset,
    /// Offset that the next record appended to the stream will have.
    pub next: Offset,
    /// The records, in ascending order of offset.
    pub records: Vec<Record>,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Time at which the service stored the record.
    pub at: SystemTime,
    /// Bytes of the record.
    pub bytes: Vec<u8>,
}
