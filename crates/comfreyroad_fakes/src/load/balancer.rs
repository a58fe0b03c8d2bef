use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::{sleep, timeout_at};
use futures_util::future::join_all;

use crate::{Error, Result};

/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Load balancer in front of the system: round robin over the ready addresses.
pub struct Balancer {
    addresses: Vec<String>,
    ready: RefCell<Vec<bool>>,
    next: Cell<usize>,
}

impl Balancer {
    /// Creates a balancer that considers all addresses ready until the first health check.
    #[must_use]
    pub fn new(addresses: Vec<String>) -> Self {
        Self {
            ready: RefCell::new(vec![true; addresses.len()]),
            addresses,
            next: Cell::new(0),
        }
    }

    /// The next ready address in turn; while none is ready, the next address regardless of health.
    #[must_use]
    pub fn next(&self) -> &str {
        let count = self.addresses.len();
        let ready = self.ready.borrow();
        let start = self.next.get();
        let in_turn = (start..start + count).map(|index| index % count);
        let index = in_turn.clone().find(|index| ready[*index]);
        let index = index.unwrap_or(start % count);
        self.next.set(index + 1);
        &self.addresses[index]
    }

    /// Checks the health of each address periodically.
    pub async fn watch(self: Rc<Self>, interval: Duration) -> Result<()> {
        let client = cyper::Client::builder().no_proxy().build();
        let client = client.map_err(|source| Error::Call {
            peer: self.addresses.join(","),
            source,
        })?;
        loop {
            let checks = self
                .addresses
                .iter()
                .map(|address| is_ready(&client, address));
            let ready = join_all(checks).await;
            self.ready.replace(ready);
            sleep(interval).await;
        }
    }
}

async fn is_ready(client: &cyper::Client, address: &str) -> bool {
    let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
    let Ok(request) = client.get(format!("http://{address}/health/ready")) else {
        return false;
    };
    let answer = timeout_at(deadline, request.send()).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status().is_success()))
}
