//! Reads bills and held versions from the log.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use comfreyroad::event::LogEntry;
use comfreyroad::record::{Record, Stream};
use comfreyroad_cli::Ledger;
use comfreyroad_net::client::Client;
use comfreyroad_net::platform::Log;
use comfreyroad_wire::record;
use indexmap::{IndexMap, IndexSet};

use crate::{CustomerId, Error, RequestId, Result, VersionId};

/// Records read per page.
const PAGE_RECORDS: usize = 1000;
/// Timeout for reading one page.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Totals of the bills on the ledger stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bills {
    /// Number of billed requests.
    pub requests: u64,
    /// Their cost, in millionths of the currency.
    pub cost: u64,
    /// Duplicate bills, which the totals leave out.
    pub duplicates: u64,
    /// Ids of the billed requests.
    pub request_ids: IndexSet<RequestId>,
    /// Number of billed requests by customer.
    pub customers: IndexMap<CustomerId, u64>,
}

impl Bills {
    /// Reads the whole ledger stream of a log service.
    pub async fn read(log: SocketAddr) -> Result<Self> {
        let service = Log::new(Client::default(), log);
        let mut ledger = Ledger::default();
        let mut request_ids = IndexSet::new();
        let mut next = 0;
        loop {
            let now = Instant::now();
            let page = service
                .read(
                    Stream::Ledger.name(),
                    next,
                    PAGE_RECORDS,
                    now,
                    now + TIMEOUT,
                )
                .await
                .map_err(|source| Error::Call {
                    step: "read ledger",
                    source: Box::new(source),
                })?;
            for stored in &page.records {
                let entry = LogEntry {
                    offset: stored.offset,
                    at: stored.at,
                    // Records that this program cannot decode are not counted.
                    record: record::decode(&stored.bytes).ok(),
                };
                if let Some(Record::Bill(bill)) = &entry.record {
                    request_ids.insert(bill.key.request.to_string());
                }
                ledger.apply(&entry);
                next = stored.offset + 1;
            }
            if page.records.is_empty() || next >= page.next {
                let bills = Self::sum(&ledger);
                return Ok(Self {
                    request_ids,
                    ..bills
                });
            }
        }
    }

    fn sum(ledger: &Ledger) -> Self {
        let mut bills = Self::default();
        for (customer, total) in ledger.totals() {
            bills.requests += total.requests;
            bills.cost += total.cost;
            bills.duplicates += total.duplicates;
            bills.customers.insert(customer.to_string(), total.requests);
        }
        bills
    }
}

/// Versions put on hold by records of the rules stream, in the order of the records.
pub async fn held_versions(log: SocketAddr) -> Result<Vec<VersionId>> {
    let service = Log::new(Client::default(), log);
    let now = Instant::now();
    let page = service
        .read(Stream::Rules.name(), 0, PAGE_RECORDS, now, now + TIMEOUT)
        .await
        .map_err(|source| Error::Call {
            step: "read rules",
            source: Box::new(source),
        })?;
    let records = page
        .records
        .iter()
        .filter_map(|stored| record::decode(&stored.bytes).ok());
    let held = records.filter_map(|record| match record {
        Record::Hold { version, .. } => Some(version.to_string()),
        _ => None,
    });
    Ok(held.collect())
}
