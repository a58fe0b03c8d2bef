use std::sync::Arc;

use super::{Answered, Claimed, Request, Retrying, Stage, Usage};
use crate::record::Bill;

/// Answered whole by a version that is not the last of its chain; the rating decides whether the caller gets it.
#[derive(Debug)]
pub struct Judged {
    /// What was found before.
    pub claimed: Claimed,
    /// The upstream's HTTP status.
    pub status: u16,
    /// Type of the body.
    pub content_type: Option<Arc<str>>,
    /// Tokens of the answer.
    pub length: u64,
    /// What it took.
    pub usage: Usage,
    /// The bill, if the caller gets it.
    pub bill: Option<Bill>,
}

impl Stage for Judged {
    const NAME: &'static str = "judge";
}

impl Request<Judged> {
    /// Goes on as answered.
    pub(crate) fn accept(self) -> Request<Answered> {
        self.into_stage(|judged| Answered {
            status: judged.status,
            delivered: judged.length,
            pinned: judged.claimed.pinned,
            usage: judged.usage,
        })
    }

    /// Drops the answer and goes on to a later version of the chain.
    pub(crate) fn step_up(self, at: usize, session: Option<Arc<str>>) -> Request<Retrying> {
        self.into_stage(|judged| {
            let mut claimed = judged.claimed;
            claimed.pinned.plan.at = at;
            claimed.pinned.session = session;
            Retrying {
                claimed,
                delivered: 0,
                sendings: 1,
            }
        })
    }
}
