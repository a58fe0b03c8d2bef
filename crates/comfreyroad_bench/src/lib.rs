//! Demonstration runs, fault cells and measurements of comfreyroad, with real processes on loopback addresses.
//!
//! A [`deployment::Plan`] lists the processes to start. A [`deployment::Deployment`] owns the running processes; dropping
//! it terminates each of them by process id. The results that callers see are read from the load tool's trace, executed
//! work from the journals of the upstreams, and bills from the ledger stream on the log.

pub mod binaries;
pub mod child;
pub mod demo;
pub mod deployment;
pub mod error;
pub mod faults;
pub mod firm;
pub mod folder;
pub mod http;
pub mod journal;
pub mod ledger;
pub mod load;
pub mod measure;
pub mod options;
pub mod report;
pub mod router;
pub mod trace;
pub mod watch;

pub use error::{Error, Result};

/// Id of a request, shared by its retries.
pub type RequestId = String;
/// Id of one attempt of a request at an upstream.
pub type AttemptId = String;
/// Id of a model version, as `model@version`.
pub type VersionId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a customer.
pub type CustomerId = String;
/// Name of a VM.
pub type VmId = String;
