//! What the ledger on the log counts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use comfreyroad::event::LogEntry;
use comfreyroad::record::Stream;
use comfreyroad_cli::Ledger;
use comfreyroad_net::client::Client;
use comfreyroad_net::platform::Log;
use comfreyroad_wire::record;
use indexmap::IndexMap;

use crate::{CustomerId, Error, Result};

/// Records in a page.
const PAGE: usize = 1000;
/// Time for one page.
const TIMEOUT: Duration = Duration::from_secs(3);

/// What has been billed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bills {
    /// Requests billed.
    pub requests: u64,
    /// Their cost, in millionths of the currency.
    pub cost: u64,
    /// Bills that repeat an earlier one and count for nothing.
    pub doubles: u64,
    /// Requests by customer.
    pub customers: IndexMap<CustomerId, u64>,
}

impl Bills {
    /// Reads the whole ledger stream of a log service.
    pub async fn read(log: SocketAddr) -> Result<Self> {
        let service = Log::new(Client::default(), log);
        let mut ledger = Ledger::default();
        let mut next = 0;
        loop {
            let now = Instant::now();
            let page = service
                .read(Stream::Ledger.name(), next, PAGE, now, now + TIMEOUT)
                .await
                .map_err(|source| Error::Call {
                    step: "read ledger",
                    source: Box::new(source),
                })?;
            for stored in &page.records {
                ledger.feed(&LogEntry {
                    offset: stored.offset,
                    at: stored.at,
                    record: record::decode(&stored.bytes).ok(),
                });
                next = stored.offset + 1;
            }
            if page.records.is_empty() || next >= page.next {
                return Ok(Self::sum(&ledger));
            }
        }
    }

    fn sum(ledger: &Ledger) -> Self {
        let mut bills = Self::default();
        for (customer, total) in ledger.totals() {
            bills.requests += total.requests;
            bills.cost += total.cost;
            bills.doubles += total.doubles;
            bills.customers.insert(customer.to_string(), total.requests);
        }
        bills
    }
}
