//! Runs the load tool against a deployment.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use crate::Result;
use crate::binaries::Binaries;
use crate::child::Child;
use crate::folder::Folder;
use crate::trace::Trace;

/// Timeout for the last answers after the last request arrives.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(35);

/// Settings of one run of the load tool.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses to call, in rotation.
    pub to: Vec<SocketAddr>,
    /// Customers with their profiles, in the format of the load tool.
    pub customers: Vec<String>,
    /// How long requests arrive.
    pub duration: Duration,
    /// Arrivals per second.
    pub rate: f64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Additional flags of the load tool.
    pub flags: Vec<String>,
}

/// A running load tool, terminated when dropped.
pub struct Running {
    child: Child,
    trace: PathBuf,
    deadline: Instant,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            to: Vec::new(),
            customers: Vec::new(),
            duration: Duration::from_secs(5),
            rate: 20.0,
            seed: 1,
            flags: Vec::new(),
        }
    }
}

impl Load {
    /// Adds customers of a profile, each with its API key from the example rules.
    #[must_use]
    pub fn with_customers(mut self, profile: &str, names: &[&str]) -> Self {
        let customers = names.iter();
        self.customers
            .extend(customers.map(|name| format!("{profile}/{name}:key-{name}")));
        self
    }

    /// Adds a flag of the load tool.
    #[must_use]
    pub fn with_flag(mut self, name: &str, value: &str) -> Self {
        self.flags.extend([name.to_owned(), value.to_owned()]);
        self
    }

    /// Starts the load tool.
    pub fn start(&self, binaries: &Binaries, folder: &Folder) -> Result<Running> {
        let to: Vec<String> = self.to.iter().map(ToString::to_string).collect();
        let trace = folder.file(&format!("trace-{}", self.seed));
        let mut command = Command::new(binaries.load());
        command
            .args(["--to", &to.join(",")])
            .args(["--customers", &self.customers.join(",")])
            .args(["--seconds", &self.duration.as_secs().to_string()])
            .args(["--rate", &self.rate.to_string()])
            .args(["--seed", &self.seed.to_string()])
            .arg("--trace")
            .arg(&trace)
            .args(&self.flags);
        let output = folder.file(&format!("load-{}", self.seed));
        Ok(Running {
            child: Child::start("load", &mut command, output)?,
            trace,
            deadline: Instant::now() + self.duration + ANSWER_TIMEOUT,
        })
    }
}

impl Running {
    /// Waits until all requests are finished and returns the trace.
    pub async fn finish(mut self) -> Result<Trace> {
        self.child.wait_for_success(self.deadline).await?;
        Trace::read(&self.trace)
    }
}
