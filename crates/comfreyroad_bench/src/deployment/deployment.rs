use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use compio::time::sleep;
use indexmap::IndexMap;
use serde_json::Value;

use super::{Addresses, Plan};
use crate::binaries::Binaries;
use crate::child::Child;
use crate::folder::Folder;
use crate::http::Http;
use crate::journal::{Journal, Journals};
use crate::{Result, VmId, ZoneId};

/// Timeout for a process to answer after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for all entries to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for published rules to take effect.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Keys for the session tokens of all deployments.
const SESSION_KEYS: &str = "0707070707070707070707070707070707070707070707070707070707070707";

/// Running fake services and entries, terminated when dropped.
pub struct Deployment {
    /// The plan that this deployment was started from.
    pub plan: Plan,
    /// The entries, by name.
    pub entries: IndexMap<VmId, Child>,
    // Declared after the entries, so that it is dropped after them: they depend on it.
    _fakes: Child,
    addresses: Addresses,
    binaries: Binaries,
    http: Http,
    upstreams: IndexMap<VmId, (ZoneId, SocketAddr)>,
    // Declared last, so that it is removed last: the children write to it.
    folder: Folder,
}

impl Deployment {
    pub(super) async fn start(plan: Plan, binaries: &Binaries) -> Result<Self> {
        let folder = Folder::new()?;
        let addresses = Addresses::new();
        let mut command = Command::new(binaries.fakes());
        add_platform_args(&mut command, &plan, addresses);
        let upstreams = add_upstream_args(&mut command, &plan, addresses);
        let fakes = Child::start("fakes", &mut command, folder.file("fakes"))?;
        let mut deployment = Self {
            plan,
            entries: IndexMap::new(),
            _fakes: fakes,
            addresses,
            binaries: binaries.clone(),
            http: Http::default(),
            upstreams,
            folder,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        let http = deployment.http.clone();
        http.wait_until_ok("start fakes", addresses.vms(), "/v1/vms", deadline)
            .await?;
        for number in 0..deployment.plan.entries {
            deployment.start_entry(number)?;
        }
        for address in deployment.entry_addresses() {
            http.wait_until_ok("start entry", address, "/health/live", deadline)
                .await?;
        }
        if !deployment.plan.rules.is_empty() {
            let rules = deployment.plan.rules.clone();
            deployment.publish("ada", &rules).await?;
            deployment.wait_until_ready().await?;
            // Entries that have just become ready send nothing to cold upstreams yet.
            sleep(deployment.plan.settling_time()).await;
        }
        Ok(deployment)
    }

    /// Starts or restarts an entry.
    pub fn start_entry(&mut self, number: u8) -> Result<()> {
        let id = entry_id(number);
        let (plan, addresses) = (&self.plan, self.addresses);
        let mut command = self.entry_command();
        command
            .args(["--entry", &id, "--zone", plan.zone(number)])
            .args(["--listen", &addresses.entry(number).to_string()])
            .args(["--log", &addresses.log().to_string()])
            .args(["--vms", &addresses.vms().to_string()])
            .args(["--seed", &plan.seed.wrapping_add(number.into()).to_string()]);
        let child = Child::start(&id, &mut command, self.folder.file(&id))?;
        self.entries.insert(id, child);
        Ok(())
    }

    /// Command of the entry daemon, or of a baseline router if the plan has a policy.
    fn entry_command(&self) -> Command {
        let plan = &self.plan;
        let Some(policy) = plan.policy else {
            let mut command = Command::new(self.binaries.entry());
            command
                .env("COMFREYROAD_SESSION_KEYS", SESSION_KEYS)
                .args(["--ratings", &self.addresses.ratings().to_string()])
                .args([
                    "--peer-timeout-ms",
                    &plan.peer_timeout.as_millis().to_string(),
                ])
                .args(&plan.entry_flags);
            return command;
        };
        let mut command = Command::new(self.binaries.bench());
        command.args(["router", "--policy", policy.name()]);
        command
    }

    /// Terminates all entries and waits until they have exited.
    pub async fn stop(mut self) -> Result<()> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        for child in self.entries.values_mut() {
            child.terminate()?;
        }
        for child in self.entries.values_mut() {
            child.wait(deadline).await?;
        }
        Ok(())
    }

    /// Waits until all entries are ready to serve.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for address in self.entry_addresses() {
            self.http
                .wait_until_ok("become ready", address, "/health/ready", deadline)
                .await?;
        }
        Ok(())
    }

    /// Publishes rules with the operator command and waits until they are in force in all entries.
    pub async fn publish(&self, by: &str, rules: &str) -> Result<String> {
        let mut child = self.start_publish(by, rules)?;
        child
            .wait_for_success(Instant::now() + PUBLISH_TIMEOUT)
            .await
    }

    /// Starts the operator command that publishes rules.
    pub fn start_publish(&self, by: &str, rules: &str) -> Result<Child> {
        let file = self.folder.write(&format!("{by}.rules"), rules)?;
        let entries: Vec<String> = self
            .entry_addresses()
            .iter()
            .map(ToString::to_string)
            .collect();
        let mut command = Command::new(self.binaries.operator());
        command
            .arg("publish")
            .arg(file)
            .args(["--log", &self.addresses.log().to_string()])
            .args(["--entries", &entries.join(","), "--by", by])
            .args(["--timeout-ms", &PUBLISH_TIMEOUT.as_millis().to_string()]);
        let output = self.folder.file(&format!("publish-{by}"));
        Child::start("publish", &mut command, output)
    }

    /// Listen addresses of the entries.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let numbers = 0..self.plan.entries;
        numbers.map(|number| self.addresses.entry(number)).collect()
    }

    /// Addresses of this deployment.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Zones and addresses of the upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &IndexMap<VmId, (ZoneId, SocketAddr)> {
        &self.upstreams
    }

    /// The folder for files of this run.
    #[must_use]
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// The programs that this deployment runs.
    #[must_use]
    pub fn binaries(&self) -> &Binaries {
        &self.binaries
    }

    /// HTTP client for its processes.
    #[must_use]
    pub fn http(&self) -> &Http {
        &self.http
    }

    /// Injects faults into a fake service.
    pub async fn inject_faults(&self, peer: SocketAddr, faults: &Value) -> Result<()> {
        self.http.post("set faults", peer, "/faults", faults).await
    }

    /// Reads the journals of all upstreams.
    pub async fn journals(&self) -> Result<Journals> {
        let mut journals = Journals::default();
        for (id, (_, address)) in &self.upstreams {
            let journal: Journal = self.http.get("read journal", *address, "/journal").await?;
            journals.by_vm.insert(id.clone(), journal);
        }
        Ok(journals)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Signals all entries before the drop of the first waits for its exit. `Child::drop` handles failures.
        for child in self.entries.values_mut() {
            child.terminate().ok();
        }
    }
}

/// Name of an entry.
fn entry_id(number: u8) -> VmId {
    format!("entry-{}", number + 1)
}

fn add_platform_args(command: &mut Command, plan: &Plan, addresses: Addresses) {
    command
        .args(["--seed", &plan.seed.to_string()])
        .args(["--delay-ms", &(plan.delay.as_secs_f64() * 1e3).to_string()])
        .args(["--log", &addresses.log().to_string()])
        .args(["--vms", &addresses.vms().to_string()])
        .args(["--ratings", &addresses.ratings().to_string()])
        .args(["--weights", &addresses.weights().to_string()]);
    for number in 0..plan.entries {
        let (id, zone) = (entry_id(number), plan.zone(number));
        let address = addresses.entry(number);
        command.args(["--entry", &format!("id={id},zone={zone},address={address}")]);
    }
}

fn add_upstream_args(
    command: &mut Command,
    plan: &Plan,
    addresses: Addresses,
) -> IndexMap<VmId, (ZoneId, SocketAddr)> {
    let mut upstreams = IndexMap::new();
    let mut count = 0;
    for group in &plan.groups {
        for number in 0..group.count {
            let id = format!("{}-{}", group.name, number + 1);
            let (pool, zone) = (group.pool, plan.zone(number));
            let address = addresses.upstream(count);
            count += 1;
            let vm = format!("id={id},pool={pool},zone={zone},address={address}");
            command.args([group.flag(), &format!("{vm},{}", group.settings)]);
            upstreams.insert(id, (zone.to_owned(), address));
        }
    }
    upstreams
}
