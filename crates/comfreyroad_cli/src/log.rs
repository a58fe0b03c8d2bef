use std::net::SocketAddr;
use std::time::SystemTime;

use comfreyroad::id::Offset;
use comfreyroad::record::{Record, Stream};
use comfreyroad_wire::platform::{Append, Appended, Page};
use comfreyroad_wire::record;
use data_encoding::BASE64;

use crate::{Client, Error, text};

/// Number of records requested per page.
const PAGE_LIMIT: usize = 500;

/// Client of the log service.
#[derive(Clone)]
pub struct Log {
    client: Client,
    address: SocketAddr,
}

impl Log {
    /// Creates a client of the log service at `address`.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Appends one record. After an error the service may still have stored the record.
    pub async fn append(&self, stream: Stream, record: &Record) -> Result<Appended, Error> {
        let path = format!("/v1/streams/{}/append", stream.name());
        let body = Append {
            records: vec![BASE64.encode(&record::encode(record))],
        };
        self.client.post("append", self.address, &path, &body).await
    }

    /// Reads from an offset to the end of the stream. `each` gets `None` for a record that cannot be decoded.
    pub async fn read(
        &self,
        stream: Stream,
        from: Offset,
        mut each: impl FnMut(Offset, SystemTime, Option<&Record>),
    ) -> Result<(), Error> {
        let mut next = from;
        loop {
            let page = self.page(stream, next).await?;
            for stored in &page.records {
                let bytes = BASE64.decode(stored.body.as_bytes()).unwrap_or_default();
                let record = record::decode(&bytes).ok();
                each(
                    stored.offset,
                    text::from_millis(stored.at_ms),
                    record.as_ref(),
                );
            }
            let Some(last) = page.records.last() else {
                return Ok(());
            };
            next = last.offset.saturating_add(1).max(next.saturating_add(1));
            if next >= page.next {
                return Ok(());
            }
        }
    }

    async fn page(&self, stream: Stream, from: Offset) -> Result<Page, Error> {
        let name = stream.name();
        let path = format!("/v1/streams/{name}/read?from={from}&limit={PAGE_LIMIT}&wait_ms=0");
        self.client.get("read", self.address, &path).await
    }
}
