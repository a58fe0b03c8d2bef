use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::frame::Peer;
use crate::id::ZoneId;
use crate::rollout::{Order, Status};
use crate::upstream::Registration;

/// What a record says of its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// A configuration.
    Configuration(Arc<Configuration>),
    /// A version is to be rolled out.
    Rollout(Order),
    /// A zone's upstreams are to get nothing.
    Evacuation(ZoneId),
    /// An upstream is registered.
    Upstream(Box<Registration>),
    /// How far a rollout is.
    Status(Status),
    /// An entry has started.
    Entry(Peer),
    /// The key was removed.
    Removed,
    /// Something that this program cannot read; it names nothing to use.
    Unreadable,
}

impl Content {
    /// Whether this only says once more what another one said.
    pub fn is_renewal_of(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Upstream(own), Self::Upstream(other)) => own.is_renewal_of(other),
            (Self::Unreadable, Self::Unreadable) => true,
            _ => false,
        }
    }
}
