//! The rules of the operators: a text file with one rule per line, each with a comment that says who asked for it.
//!
//! ```text
//! Draft<Text> -> Draft<Parsed> -> Draft<Checked> -> InForce
//! ```
//!
//! Only a [`Draft<Checked>`](Draft) can come into force. The rules controller brings it into force when the log shows
//! that it is the first publish after the generation then in force.

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

/// The newest format of the rules file that this program reads.
pub const FORMAT: u32 = 1;

/// The rules of one generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Number of the file format.
    pub format: u32,
    /// The generation that these rules follow.
    pub after: Generation,
    /// The firms of the venture.
    pub firms: Vec<FirmId>,
    /// Availability zones.
    pub zones: IndexMap<ZoneId, Zone>,
    /// Pools of upstreams.
    pub pools: IndexMap<PoolId, Pool>,
    /// Versions of models.
    pub versions: IndexMap<VersionId, Version>,
    /// Names under which callers request one of several models.
    pub routes: IndexMap<RouteId, Route>,
    /// Plain services, sorted by the length of the path, longest first.
    pub services: Vec<Service>,
    /// Customers.
    pub customers: IndexMap<CustomerId, Customer>,
    /// Time at which the venture ends.
    pub term: Option<SystemTime>,
}

impl Rules {
    /// The versions of a model, in the order of the file.
    pub fn versions_of<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a Version> {
        self.versions
            .values()
            .filter(move |version| version.model == *model)
    }

    /// The customer that owns a key.
    pub fn customer_by_key(&self, key: &crate::id::KeyHash) -> Option<&Customer> {
        self.customers
            .values()
            .find(|customer| customer.keys.contains(key))
    }

    /// Whether a zone takes new work. Unknown zones do not.
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
