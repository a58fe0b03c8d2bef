use std::sync::Arc;

use super::{Allowed, Answered, Choice, Claimed, Repeat, Request, Stage, Usage};
use crate::controller::claim::Proof;
use crate::id::{LaneId, SessionHash, VersionId};
use crate::record::{Key, Replay};

/// Bound to the version, or the chain of versions, that is to answer.
#[derive(Clone, Debug)]
pub struct Pinned {
    /// What was found before.
    pub allowed: Allowed,
    /// The versions to try, in order.
    pub plan: Plan,
    /// The session token to hand back.
    pub session: Option<Arc<str>>,
    /// The session, where the caller names it itself.
    pub own_id: Option<SessionHash>,
    /// The version that the session had before, where it had to move.
    pub moved_from: Option<VersionId>,
}

impl Pinned {
    /// Binds a request to a version.
    pub(crate) fn new(allowed: Allowed, choice: Choice) -> Self {
        Self {
            allowed,
            plan: choice.plan,
            session: choice.session,
            own_id: choice.own_id,
            moved_from: choice.moved_from,
        }
    }

    /// What shares upstreams with this request: its version, or its pool where there is none.
    pub fn lane(&self) -> LaneId {
        let version = self.plan.version();
        version
            .or(self.allowed.pool.as_ref())
            .cloned()
            .unwrap_or_default()
    }
}

/// A chain of versions: each but the last is tried and rated, the last one answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The versions, cheapest first; empty for a plain service.
    pub versions: Vec<VersionId>,
    /// The one whose turn it is.
    pub at: usize,
}

impl Plan {
    /// A plan of a single version.
    pub fn single(version: VersionId) -> Self {
        Self {
            versions: vec![version],
            at: 0,
        }
    }

    /// The version whose turn it is.
    pub fn version(&self) -> Option<&VersionId> {
        self.versions.get(self.at)
    }

    /// Whether the answer must be rated before a caller gets it.
    pub fn is_rated(&self) -> bool {
        self.at + 1 < self.versions.len()
    }
}

impl Stage for Pinned {
    const NAME: &'static str = "claim";
}

impl Request<Pinned> {
    /// Goes on with the proof that this claim is the first.
    pub(crate) fn claim(self, proof: Proof) -> Request<Claimed> {
        self.into_stage(|pinned| Claimed {
            pinned,
            proof: Some(proof),
        })
    }

    /// The name under which it is claimed and billed.
    pub fn key(&self) -> Key {
        Key {
            customer: self.stage.allowed.customer.clone(),
            request: self.head.id.clone(),
        }
    }

    /// Goes on as answered, by an answer that an earlier attempt got.
    pub(crate) fn replay(self, replay: &Replay) -> Request<Answered> {
        self.into_stage(|pinned| Answered {
            pinned,
            status: replay.status,
            delivered: replay.body.len() as u64,
            usage: Usage::default(),
        })
    }

    /// Goes on without a claim, which only what may be repeated can do.
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
