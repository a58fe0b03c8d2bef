use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::frame::Peer;
use crate::id::ZoneId;
use crate::rollout::{Order, Status};
use crate::upstream::Registration;

/// The value of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The published configuration.
    Configuration(Arc<Configuration>),
    /// An order to roll out a version.
    Rollout(Order),
    /// A zone is evacuated: its upstreams get no requests.
    Evacuation(ZoneId),
    /// The registration of an upstream.
    Upstream(Box<Registration>),
    /// The status of a rollout.
    Status(Status),
    /// The registration of an entry, written when it starts.
    Entry(Peer),
    /// Tombstone: the key was removed.
    Removed,
    /// A value that cannot be decoded, so that the key names nothing usable.
    Unreadable,
}

impl Content {
    /// Whether this content repeats another one without changing its meaning.
    pub fn is_renewal_of(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Upstream(own), Self::Upstream(other)) => own.is_renewal_of(other),
            (Self::Unreadable, Self::Unreadable) => true,
            _ => false,
        }
    }
}
