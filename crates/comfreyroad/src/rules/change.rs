use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use crate::id::{CustomerId, FirmId, PoolId, RouteId, VersionId, ZoneId};

/// What one line of the rules describes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A firm.
    Firm(FirmId),
    /// A zone.
    Zone(ZoneId),
    /// A pool.
    Pool(PoolId),
    /// A version.
    Version(VersionId),
    /// A route.
    Route(RouteId),
    /// A service.
    Service(Arc<str>),
    /// A customer.
    Customer(CustomerId),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Firm(id) => write!(f, "firm {id}"),
            Self::Zone(id) => write!(f, "zone {id}"),
            Self::Pool(id) => write!(f, "pool {id}"),
            Self::Version(id) => write!(f, "version {id}"),
            Self::Route(id) => write!(f, "route {id}"),
            Self::Service(id) => write!(f, "service {id}"),
            Self::Customer(id) => write!(f, "customer {id}"),
        }
    }
}

/// One change between two generations of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The subject was added.
    Added(Subject),
    /// The subject was removed.
    Removed(Subject),
    /// Fields of the subject have other values.
    Changed(Subject, Vec<&'static str>),
    /// A zone takes no new work.
    ZoneOut(ZoneId),
    /// A zone takes new work again.
    ZoneIn(ZoneId),
    /// A version takes no new work.
    Withdrawn(VersionId),
    /// A version takes new work again.
    Restored(VersionId),
    /// A version gets another share of the new sessions of its model.
    Share {
        /// The version.
        version: VersionId,
        /// Share before, in percent.
        from: u32,
        /// Share now, in percent.
        to: u32,
    },
    /// The end of the venture changed.
    Term {
        /// The end before.
        from: Option<SystemTime>,
        /// The end now.
        to: Option<SystemTime>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(subject) => write!(f, "{subject} added"),
            Self::Removed(subject) => write!(f, "{subject} removed"),
            Self::Changed(subject, fields) => write!(f, "{subject} changed: {}", fields.join(", ")),
            Self::ZoneOut(zone) => write!(f, "zone {zone} out"),
            Self::ZoneIn(zone) => write!(f, "zone {zone} in"),
            Self::Withdrawn(version) => write!(f, "version {version} withdrawn"),
            Self::Restored(version) => write!(f, "version {version} active again"),
            Self::Share { version, from, to } => {
                write!(f, "version {version} share {from} -> {to}")
            }
            Self::Term { from, to } => {
                write!(f, "term {} -> {}", Moment(*from), Moment(*to))
            }
        }
    }
}

struct Moment(Option<SystemTime>);

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(time) => humantime::format_rfc3339_seconds(time).fmt(f),
            None => f.write_str("none"),
        }
    }
}
