use std::fmt;

use crate::id::{CustomerId, PoolId, RouteId};

/// Part of a configuration. Indexes count from 0, in the order of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// The configuration as a whole.
    Configuration,
    /// The limits on requests.
    Limits,
    /// A route.
    Route(usize, RouteId),
    /// A pool of upstreams.
    Service(usize, PoolId),
    /// A customer.
    Customer(usize, CustomerId),
    /// A position in the encoded text; line and column count from 1.
    Text {
        /// The line.
        line: usize,
        /// The column in bytes.
        column: usize,
    },
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => f.write_str("configuration"),
            Self::Limits => f.write_str("limits"),
            Self::Route(index, id) => write!(f, "route {} `{id}`", index + 1),
            Self::Service(index, id) => write!(f, "service {} `{id}`", index + 1),
            Self::Customer(index, id) => write!(f, "customer {} `{id}`", index + 1),
            Self::Text { line, column } => write!(f, "line {line}, column {column}"),
        }
    }
}
