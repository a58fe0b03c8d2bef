use std::sync::Arc;

use super::{Answered, Claimed, Request, Retrying, Stage, Usage};
use crate::record::Bill;

/// A version that is not the last of its chain has answered completely. The rating decides whether the answer is
/// delivered to the caller.
#[derive(Debug)]
pub struct Unrated {
    /// The result of the earlier stages.
    pub claimed: Claimed,
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Option<Arc<str>>,
    /// Number of tokens in the answer.
    pub length: u64,
    /// Tokens used by the answer.
    pub usage: Usage,
    /// The bill to write if the answer is delivered.
    pub bill: Option<Bill>,
}

impl Stage for Unrated {
    const NAME: &'static str = "judge";
}

impl Request<Unrated> {
    /// Accepts the answer.
    pub(crate) fn accept(self) -> Request<Answered> {
        self.into_stage(|judged| Answered {
            status: judged.status,
            delivered: judged.length,
            pinned: judged.claimed.pinned,
            usage: judged.usage,
        })
    }

    /// Drops the answer and continues with the version at `index` of the chain.
    pub(crate) fn escalate(self, index: usize, session: Option<Arc<str>>) -> Request<Retrying> {
        self.into_stage(|judged| {
            let mut claimed = judged.claimed;
            claimed.pinned.plan.index = index;
            claimed.pinned.session = session;
            Retrying {
                claimed,
                delivered: 0,
                attempts: 1,
            }
        })
    }
}
