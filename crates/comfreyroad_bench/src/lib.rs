//! Demonstration, fault cells and measurements of comfreyroad, with real processes on loopback addresses.
//!
//! A [`deployment::Plan`] says what to start. A [`deployment::Deployment`] is what runs; dropping it ends each process by
//! its id. The callers' side comes from the load tool's trace, the upstreams' from their journals, the bills from the
//! ledger on the log.

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

/// Names one request; its retries share it.
pub type RequestId = String;
/// Names one attempt of a request at an upstream.
pub type AttemptId = String;
/// A model version, as `model@version`.
pub type VersionId = String;
/// Names an availability zone.
pub type ZoneId = String;
/// Names a customer.
pub type CustomerId = String;
/// Names a VM.
pub type VmId = String;
