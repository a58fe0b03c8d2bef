use super::{Pinned, Request, Stage};

/// Answered whole by an upstream, whose slot is free again.
#[derive(Debug)]
pub struct Answered {
    /// What was found before.
    pub pinned: Pinned,
    /// The upstream's HTTP status.
    pub status: u16,
    /// Tokens that the caller has; bytes for a plain service.
    pub delivered: u64,
    /// What the answer took.
    pub usage: Usage,
}

/// Billed, and the bill is safe.
#[derive(Debug)]
pub struct Billed {
    /// What the answer took.
    pub usage: Usage,
}

/// What an answer took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer; bytes for a plain service.
    pub completion_tokens: u32,
    /// Tokens of the prompt that were found in the prefix cache.
    pub cached_tokens: u32,
}

impl Stage for Answered {
    const NAME: &'static str = "bill";
}

impl Stage for Billed {
    const NAME: &'static str = "finish";
}

impl Request<Answered> {
    pub(crate) fn bill(self) -> Request<Billed> {
        self.into_stage(|answered| Billed {
            usage: answered.usage,
        })
    }
}
