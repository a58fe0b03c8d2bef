//! Answers whose wholeness and owner a checker can verify.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::PrefixId;

/// How good an answer is; its tokens say so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Quality {
    /// Tokens `tokI-HASH `.
    #[default]
    Good,
    /// Tokens `poorI-HASH `.
    Poor,
    /// Tokens `badI-HASH `, of a version that has turned bad.
    Bad,
}

impl Quality {
    /// First letters of each token.
    #[must_use]
    pub fn mark(self) -> &'static str {
        match self {
            Self::Good => "tok",
            Self::Poor => "poor",
            Self::Bad => "bad",
        }
    }

    /// Good for the part `good` of all conversations, and always the same for the same one.
    #[must_use]
    pub fn draw(version: &str, hash: &str, good: f64) -> Self {
        let draw = xxh3_64(format!("{version} {hash}").as_bytes()) as f64 / u64::MAX as f64;
        if draw < good { Self::Good } else { Self::Poor }
    }

    /// Reads the quality off an answer's first token.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        [Self::Good, Self::Poor, Self::Bad]
            .into_iter()
            .find(|quality| text.starts_with(quality.mark()))
    }
}

/// The answer to one conversation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Hash of the conversation.
    pub hash: PrefixId,
    /// Number of tokens.
    pub tokens: u32,
    /// How good it is.
    pub quality: Quality,
}

impl Answer {
    /// A good answer of `tokens` tokens.
    #[must_use]
    pub fn new(hash: PrefixId, tokens: u32) -> Self {
        Self {
            hash,
            tokens,
            quality: Quality::Good,
        }
    }

    /// The same answer in another quality.
    #[must_use]
    pub fn with_quality(self, quality: Quality) -> Self {
        Self { quality, ..self }
    }

    /// Token number `index`.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        format!("{}{index}-{} ", self.quality.mark(), self.hash)
    }

    /// Tokens from `from` to the end.
    #[must_use]
    pub fn text(&self, from: u32) -> String {
        (from..self.tokens).map(|index| self.token(index)).collect()
    }

    /// Whether `text` is the whole answer to this conversation, in one quality throughout.
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        Quality::read(text)
            .is_some_and(|quality| self.clone().with_quality(quality).text(0) == text)
    }
}
