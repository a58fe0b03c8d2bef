//! Calls to the platform's services and load reports of the upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::event::{LogEntry, Page};
use comfreyroad::id::{BatchId, Offset, UpstreamId};
use comfreyroad::record::{Record, Stream};
use comfreyroad::upstream::{Load, Vm, VmKind, VmState};
use comfreyroad::{Action, Event};
use comfreyroad_net::client::Client;
use comfreyroad_net::platform::{AppendError, Log, Vms};
use comfreyroad_net::upstream::LoadReports;
use comfreyroad_wire::{engine, platform, record};

use crate::daemon::Shared;

/// Maximum number of records in one page.
const PAGE_LIMIT: usize = 1000;
/// Timeout of a call to the log, in addition to the wait of a long poll.
const LOG_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a call to the VM list.
const VMS_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(400);

/// Clients of the platform's services and of the load reports.
pub(super) struct Platform {
    shared: Shared,
    log: Log,
    vms: Vms,
    load_reports: LoadReports,
}

impl Platform {
    pub(super) fn new(shared: Shared, client: Client) -> Self {
        let log = Log::new(client.clone(), shared.settings.log);
        let vms = Vms::new(client.clone(), shared.settings.vms);
        let load_reports = LoadReports::new(client);
        Self {
            shared,
            log,
            vms,
            load_reports,
        }
    }

    pub(super) fn execute(self: Rc<Self>, action: Action) {
        let task = async move {
            let event = match action {
                Action::Append {
                    batch,
                    stream,
                    records,
                } => self.append(batch, stream, &records).await,
                Action::Read { stream, from, wait } => self.read(stream, from, wait).await,
                Action::ListVms => self.list_vms().await,
                Action::AskLoad { upstream, address } => {
                    Some(self.fetch_load(upstream, &address).await)
                }
                _ => None,
            };
            if let Some(event) = event {
                self.shared.queue(event);
            }
        };
        compio::runtime::spawn(task).detach();
    }

    async fn append(
        &self,
        batch: BatchId,
        stream: Stream,
        records: &[Rc<Record>],
    ) -> Option<Event> {
        let bodies: Vec<Vec<u8>> = records
            .iter()
            .map(|record| record::encode(record))
            .collect();
        let deadline = Instant::now() + LOG_TIMEOUT;
        Some(
            match self.log.append(stream.name(), &bodies, deadline).await {
                Ok(appended) => Event::Appended {
                    batch,
                    first: appended.first,
                },
                Err(AppendError::NotAppended { .. }) => Event::AppendRefused(batch),
                Err(AppendError::Unclear(_)) => Event::AppendUnclear(batch),
            },
        )
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Option<Event> {
        let requested_at = Instant::now();
        let wait_deadline = requested_at + wait;
        let page = self
            .log
            .read(
                stream.name(),
                from,
                PAGE_LIMIT,
                wait_deadline,
                wait_deadline + LOG_TIMEOUT,
            )
            .await;
        let Ok(page) = page else {
            return Some(Event::ReadFailed(stream));
        };
        let entry = |stored: comfreyroad_net::platform::Record| LogEntry {
            offset: stored.offset,
            at: stored.at,
            record: record::decode(&stored.bytes).ok(),
        };
        let entries = page.records.into_iter().map(entry).collect();
        Some(Event::Read(Page {
            stream,
            requested_at,
            from,
            oldest: page.oldest,
            next: page.next,
            entries,
        }))
    }

    async fn list_vms(&self) -> Option<Event> {
        let list = self.vms.list(Instant::now() + VMS_TIMEOUT).await.ok()?;
        let vms = list.vms.into_iter().map(vm).collect();
        Some(Event::Vms {
            at: from_millis(list.at_ms),
            vms,
        })
    }

    async fn fetch_load(&self, upstream: UpstreamId, address: &str) -> Event {
        let deadline = Instant::now() + LOAD_TIMEOUT;
        let report = match address.parse::<SocketAddr>() {
            Ok(address) => self.load_reports.get(address, deadline).await.ok(),
            Err(_) => None,
        };
        Event::Load {
            upstream,
            load: report.map(load),
        }
    }
}

fn from_millis(ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(ms)
}

fn vm(vm: platform::Vm) -> Vm {
    Vm {
        id: vm.id.into(),
        kind: match vm.kind {
            platform::Kind::Entry => VmKind::Entry,
            platform::Kind::Upstream => VmKind::Upstream,
        },
        pool: vm.pool.into(),
        zone: vm.zone.into(),
        address: vm.address.into(),
        state: match vm.state {
            platform::State::Live => VmState::Live,
            platform::State::Leaving => VmState::Leaving,
        },
    }
}

fn load(load: engine::Load) -> Load {
    Load {
        at: from_millis(load.at_ms),
        boot: load.boot.into(),
        uptime: Duration::from_millis(load.uptime_ms),
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        kv_used: load.kv_used,
        versions: load.versions.into_iter().map(Into::into).collect(),
    }
}
