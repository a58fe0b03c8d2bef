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

/// Time for a process to answer after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for all entries to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a publish to be in force.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// The keys that seal the session tokens of every deployment here.
const SESSION_KEYS: &str = "0707070707070707070707070707070707070707070707070707070707070707";

/// Stand-ins and entries that run; dropping it ends them.
pub struct Deployment {
    /// What was started.
    pub plan: Plan,
    /// The entries, by name.
    pub entries: IndexMap<VmId, Child>,
    // Ends after the entries, which it serves.
    _fakes: Child,
    addresses: Addresses,
    binaries: Binaries,
    http: Http,
    upstreams: IndexMap<VmId, (ZoneId, SocketAddr)>,
    // Goes last: the children write to it.
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
            // Ready entries send nothing to cold upstreams yet.
            sleep(deployment.plan.settling_time()).await;
        }
        Ok(deployment)
    }

    /// Starts an entry, or starts it again.
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

    /// The entry daemon, or a router to compare with.
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

    /// Asks all entries to end, and waits until they have.
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

    /// Publishes a rules file by the operator command, and waits until it is in force in all entries.
    pub async fn publish(&self, by: &str, rules: &str) -> Result<String> {
        let mut child = self.start_publish(by, rules)?;
        child
            .wait_for_success(Instant::now() + PUBLISH_TIMEOUT)
            .await
    }

    /// Starts to publish a rules file.
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

    /// Where the entries listen.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let numbers = 0..self.plan.entries;
        numbers.map(|number| self.addresses.entry(number)).collect()
    }

    /// Where the stand-ins of the platform listen.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The upstreams with their zones and addresses.
    #[must_use]
    pub fn upstreams(&self) -> &IndexMap<VmId, (ZoneId, SocketAddr)> {
        &self.upstreams
    }

    /// Files of this run.
    #[must_use]
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// The programs that it was started with.
    #[must_use]
    pub fn binaries(&self) -> &Binaries {
        &self.binaries
    }

    /// A client of its processes.
    #[must_use]
    pub fn http(&self) -> &Http {
        &self.http
    }

    /// Puts faults in force at a stand-in.
    pub async fn inject_faults(&self, peer: SocketAddr, faults: &Value) -> Result<()> {
        self.http.post("set faults", peer, "/faults", faults).await
    }

    /// What the upstreams have executed.
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
        // All are asked before the first is waited for; a failure is left to the guards.
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
