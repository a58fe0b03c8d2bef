use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::{sleep, timeout_at};
use futures_util::future::join_all;

use crate::{Error, Result};

/// Time for an address to say that it is ready.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The balancer before the system: takes ready addresses in turn.
pub struct Balancer {
    addresses: Vec<String>,
    ready: RefCell<Vec<bool>>,
    next: Cell<usize>,
}

impl Balancer {
    /// A balancer that takes all addresses for ready.
    #[must_use]
    pub fn new(addresses: Vec<String>) -> Self {
        Self {
            ready: RefCell::new(vec![true; addresses.len()]),
            addresses,
            next: Cell::new(0),
        }
    }

    /// The next address in turn; while none is ready, the next one of all.
    #[must_use]
    pub fn next(&self) -> &str {
        let count = self.addresses.len();
        let ready = self.ready.borrow();
        let from = self.next.get();
        let in_turn = (from..from + count).map(|index| index % count);
        let index = in_turn.clone().find(|index| ready[*index]);
        let index = index.unwrap_or(from % count);
        self.next.set(index + 1);
        &self.addresses[index]
    }

    /// Asks each address again and again whether it is ready.
    pub async fn watch(self: Rc<Self>, interval: Duration) -> Result<()> {
        let client = cyper::Client::builder().no_proxy().build();
        let client = client.map_err(|source| Error::Call {
            peer: self.addresses.join(","),
            source,
        })?;
        loop {
            let asked = self
                .addresses
                .iter()
                .map(|address| is_ready(&client, address));
            let ready = join_all(asked).await;
            self.ready.replace(ready);
            sleep(interval).await;
        }
    }
}

async fn is_ready(client: &cyper::Client, address: &str) -> bool {
    let deadline = Instant::now() + TIMEOUT;
    let Ok(request) = client.get(format!("http://{address}/health/ready")) else {
        return false;
    };
    let answer = timeout_at(deadline, request.send()).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status().is_success()))
}
