use std::sync::Arc;

use super::{Allowed, Answered, Choice, Claimed, Repeat, Request, Stage, Usage};
use crate::controller::claim::Proof;
use crate::id::{LaneId, SessionHash, VersionId};
use crate::record::{Key, Replay};

/// The request is pinned to the version, or the chain of versions, that is to answer it.
#[derive(Clone, Debug)]
pub struct Pinned {
    /// The result of the earlier stages.
    pub allowed: Allowed,
    /// The versions to try, in order.
    pub plan: Plan,
    /// The session token to return to the caller.
    pub session: Option<Arc<str>>,
    /// The session, if the caller identifies it by an id of its own.
    pub caller_session: Option<SessionHash>,
    /// The previous version of the session, if the session had to move.
    pub moved_from: Option<VersionId>,
}

impl Pinned {
    /// Pins an allowed request to the chosen versions.
    pub(crate) fn new(allowed: Allowed, choice: Choice) -> Self {
        Self {
            allowed,
            plan: choice.plan,
            session: choice.session,
            caller_session: choice.caller_session,
            moved_from: choice.moved_from,
        }
    }

    /// The lane of the request: its version, or its pool for a plain service. Requests of one lane share upstreams.
    pub fn lane(&self) -> LaneId {
        let version = self.plan.version();
        version
            .or(self.allowed.pool.as_ref())
            .cloned()
            .unwrap_or_default()
    }
}

/// A chain of versions. The answer of each version but the last is rated, and a bad one is dropped for that of a later
/// version. The answer of the last version is delivered without a rating.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The versions, cheapest first. Empty for a plain service.
    pub versions: Vec<VersionId>,
    /// Index of the current version.
    pub index: usize,
}

impl Plan {
    /// A plan of a single version.
    pub fn single(version: VersionId) -> Self {
        Self {
            versions: vec![version],
            index: 0,
        }
    }

    /// The current version.
    pub fn version(&self) -> Option<&VersionId> {
        self.versions.get(self.index)
    }

    /// Whether the answer of the current version must be rated before it is delivered.
    pub fn is_rated(&self) -> bool {
        self.index + 1 < self.versions.len()
    }
}

impl Stage for Pinned {
    const NAME: &'static str = "claim";
}

impl Request<Pinned> {
    /// Continues with the proof that this call holds the claim.
    pub(crate) fn claim(self, proof: Proof) -> Request<Claimed> {
        self.into_stage(|pinned| Claimed {
            pinned,
            proof: Some(proof),
        })
    }

    /// Key under which the request is claimed and billed.
    pub fn key(&self) -> Key {
        Key {
            customer: self.stage.allowed.customer.clone(),
            request: self.head.id.clone(),
        }
    }

    /// Answers the request with the recorded answer of an earlier attempt.
    pub(crate) fn replay(self, replay: &Replay) -> Request<Answered> {
        self.into_stage(|pinned| Answered {
            pinned,
            status: replay.status,
            delivered: replay.body.len() as u64,
            usage: Usage::default(),
        })
    }

    /// Continues without a claim. Gives the request back unchanged if it may run at most once.
    pub(crate) fn skip_claim(self) -> Result<Request<Claimed>, Self> {
        match self.stage.allowed.repeat {
            Repeat::Idempotent => Ok(self.into_stage(|pinned| Claimed {
                pinned,
                proof: None,
            })),
            Repeat::Once => Err(self),
        }
    }
}
