use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::record::Stream;
use comfreyroad_net::client::Client;
use comfreyroad_net::platform::{Log, Vms};
use comfreyroad_net::upstream::LoadReports;
use comfreyroad_wire::platform::Kind;
use comfreyroad_wire::record;
use compio::time::sleep;
use futures_util::future::join_all;

use super::State;
use crate::VmId;

/// Interval between two reads of the VM list and the load reports, and before a failed read of the log is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait of one read for a new log record.
const LOG_WAIT: Duration = Duration::from_secs(2);
/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of one load report, short so that an unresponsive upstream does not delay the reports of others.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Log records read per page.
const PAGE_RECORDS: usize = 500;

/// Follows the rules stream of the log; never returns.
pub(super) async fn rules(state: Rc<RefCell<State>>, log: SocketAddr) {
    let log = Log::new(Client::default(), log);
    loop {
        let from = state.borrow().history.next();
        let now = Instant::now();
        let page = log
            .read(
                Stream::Rules.name(),
                from,
                PAGE_RECORDS,
                now + LOG_WAIT,
                now + LOG_WAIT + TIMEOUT,
            )
            .await;
        let Ok(page) = page else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        let history = &mut state.borrow_mut().history;
        for stored in &page.records {
            match record::decode(&stored.bytes) {
                Ok(record) => drop(history.feed(stored.offset, stored.at, &record)),
                Err(_) => history.skip(stored.offset),
            }
        }
    }
}

/// Polls the VM list and the load reports; never returns.
pub(super) async fn upstreams(state: Rc<RefCell<State>>, vms: SocketAddr) {
    let client = Client::default();
    let list = Vms::new(client.clone(), vms);
    let reports = LoadReports::new(client);
    loop {
        // The last VM list stays in use while the service is unavailable.
        if let Ok(vms) = list.list(Instant::now() + TIMEOUT).await {
            state.borrow_mut().vms = vms.vms;
        }
        let addresses = upstream_addresses(&state.borrow());
        let requests = addresses.into_iter().map(|(id, address)| {
            let report = reports.get(address, Instant::now() + REPORT_TIMEOUT);
            async move { (id, report.await) }
        });
        for (id, report) in join_all(requests).await {
            match report {
                Ok(load) => state.borrow_mut().record_load(id, load),
                Err(_) => drop(state.borrow_mut().loads.swap_remove(&id)),
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn upstream_addresses(state: &State) -> Vec<(VmId, SocketAddr)> {
    let upstreams = state.vms.iter().filter(|vm| vm.kind == Kind::Upstream);
    let addresses = upstreams.filter_map(|vm| Some((vm.id.clone(), vm.address.parse().ok()?)));
    addresses.collect()
}
