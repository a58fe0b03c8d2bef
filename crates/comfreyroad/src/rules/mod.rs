//! The operators' rules: one text file, one rule a line, each with a comment on who asked for it.
//!
//! ```text
//! Draft<Text> -> Draft<Parsed> -> Draft<Checked> -> InForce
//! ```
//!
//! Only [`Draft<Checked>`](Draft) can come into force, and only the controller of the rules brings it there, when the
//! log says that it was the first to follow the generation then in force.

mod change;
mod check;
mod customer;
mod diff;
mod draft;
mod fault;
mod history;
mod in_force;
mod parse;
mod pool;
mod route;
mod service;
mod snapshot;
mod verdict;
mod version;
mod zone;

pub use change::{Change, Subject};
pub use customer::Customer;
pub use draft::{Checked, Draft, Parsed, Text};
pub use fault::Fault;
pub use history::History;
pub use in_force::InForce;
pub use pool::{Fencing, Pool, PoolKind};
pub use route::Route;
pub use service::Service;
pub use snapshot::Snapshot;
pub use verdict::Verdict;
pub use version::Version;
pub use zone::Zone;

use indexmap::IndexMap;
use std::time::SystemTime;

use crate::id::{CustomerId, FirmId, Generation, ModelId, PoolId, RouteId, VersionId, ZoneId};

/// Newest format of the rules file that this program reads.
pub const FORMAT: u32 = 1;

/// The rules of one generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Format of the file.
    pub format: u32,
    /// The generation that these rules follow.
    pub after: Generation,
    /// The firms of the venture.
    pub firms: Vec<FirmId>,
    /// Availability zones.
    pub zones: IndexMap<ZoneId, Zone>,
    /// Pools of upstreams.
    pub pools: IndexMap<PoolId, Pool>,
    /// Models and versions.
    pub versions: IndexMap<VersionId, Version>,
    /// Names under which several models can be asked for.
    pub routes: IndexMap<RouteId, Route>,
    /// Plain services, the longest path first.
    pub services: Vec<Service>,
    /// Customers.
    pub customers: IndexMap<CustomerId, Customer>,
    /// When the venture ends.
    pub term: Option<SystemTime>,
}

impl Rules {
    /// The versions of a model, in the file's order.
    pub fn versions_of<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a Version> {
        self.versions
            .values()
            .filter(move |version| version.model == *model)
    }

    /// The customer with this key.
    pub fn customer_by_key(&self, key: &crate::id::KeyHash) -> Option<&Customer> {
        self.customers
            .values()
            .find(|customer| customer.keys.contains(key))
    }

    /// Whether a zone takes new work; unknown zones do not.
    pub fn is_zone_in(&self, zone: &ZoneId) -> bool {
        self.zones.get(zone).is_some_and(|zone| !zone.out)
    }

    /// Whether a version takes new work.
    pub fn is_active(&self, version: &VersionId) -> bool {
        self.versions
            .get(version)
            .is_some_and(|version| !version.withdrawn)
    }
}
