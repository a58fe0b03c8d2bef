//! Deterministic answers, which a checker can verify to be complete and to belong to the right conversation.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::PrefixId;

/// Quality of an answer, encoded in its tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Quality {
    /// Tokens `tokI-HASH `.
    #[default]
    Good,
    /// Tokens `poorI-HASH `.
    Poor,
    /// Tokens `badI-HASH `; answers of a version that an injected fault made bad.
    Bad,
}

impl Quality {
    /// Prefix of each token.
    #[must_use]
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Good => "tok",
            Self::Poor => "poor",
            Self::Bad => "bad",
        }
    }

    /// Draws good for the share `good` of all conversations, deterministically by version and conversation.
    #[must_use]
    pub fn draw(version: &str, hash: &str, good: f64) -> Self {
        let draw = xxh3_64(format!("{version} {hash}").as_bytes()) as f64 / u64::MAX as f64;
        if draw < good { Self::Good } else { Self::Poor }
    }

    /// Parses the quality from the first token of an answer.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        [Self::Good, Self::Poor, Self::Bad]
            .into_iter()
            .find(|quality| text.starts_with(quality.prefix()))
    }
}

/// The answer to one conversation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Hash of the conversation.
    pub hash: PrefixId,
    /// Number of tokens.
    pub tokens: u32,
    /// Quality of the answer.
    pub quality: Quality,
}

impl Answer {
    /// Creates a good answer of `tokens` tokens.
    #[must_use]
    pub fn new(hash: PrefixId, tokens: u32) -> Self {
        Self {
            hash,
            tokens,
            quality: Quality::Good,
        }
    }

    /// The same answer with another quality.
    #[must_use]
    pub fn with_quality(self, quality: Quality) -> Self {
        Self { quality, ..self }
    }

    /// The token at `index`.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        format!("{}{index}-{} ", self.quality.prefix(), self.hash)
    }

    /// Text of the tokens from index `from` to the end.
    #[must_use]
    pub fn text(&self, from: u32) -> String {
        (from..self.tokens).map(|index| self.token(index)).collect()
    }

    /// Whether `text` is the whole answer to this conversation, with the same quality in all tokens.
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        Quality::from_text(text)
            .is_some_and(|quality| self.clone().with_quality(quality).text(0) == text)
    }
}
