use indexmap::IndexMap;
use serde::Serialize;

use crate::{RequestId, VersionId};

/// What an engine has executed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Journal {
    /// How often each request got a slot.
    pub requests: IndexMap<RequestId, u32>,
    /// Requests that got a slot, by version.
    pub versions: IndexMap<VersionId, u64>,
    /// Tokens given by version, those of answers that broke too.
    pub tokens: IndexMap<VersionId, u64>,
    /// Answers given to their end.
    pub finished: u64,
    /// Answers that broke.
    pub broken: u64,
    /// Answers cancelled, or left by their caller.
    pub cancelled: u64,
    /// Requests refused as more than it bears.
    pub refused: u64,
    /// Requests for versions that weren't loaded.
    pub not_loaded: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Fencing numbers of the orders taken.
    pub orders: Vec<u64>,
    /// Orders refused for an old fencing number.
    pub orders_refused: u64,
}

impl Journal {
    /// Notes that a token was given.
    pub fn gave(&mut self, version: &str) {
        *self.tokens.entry(version.to_owned()).or_default() += 1;
    }

    /// Notes that a request has got a slot.
    pub fn started(&mut self, request: &str, version: &str) {
        *self.requests.entry(request.to_owned()).or_default() += 1;
        *self.versions.entry(version.to_owned()).or_default() += 1;
    }
}
