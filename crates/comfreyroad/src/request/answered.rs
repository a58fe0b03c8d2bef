use super::{Pinned, Request, Stage};

/// An upstream has answered the request completely, and its slot is released.
#[derive(Debug)]
pub struct Answered {
    /// The result of the earlier stages.
    pub pinned: Pinned,
    /// HTTP status of the answer.
    pub status: u16,
    /// Number of tokens delivered to the caller, or of bytes for a plain service.
    pub delivered: u64,
    /// Tokens used by the answer.
    pub usage: Usage,
}

/// The bill of the answer is stored durably.
#[derive(Debug)]
pub struct Billed {
    /// Tokens used by the answer.
    pub usage: Usage,
}

/// Tokens used by an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens in the answer, or of bytes for a plain service.
    pub completion_tokens: u32,
    /// Number of prompt tokens found in the prefix cache.
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
