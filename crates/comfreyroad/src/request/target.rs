use std::sync::Arc;

use crate::id::PrefixHash;

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Target {
    /// An answer by a model.
    Chat(Chat),
    /// A call to a plain service.
    Service(Service),
}

/// A chat completion.
#[derive(Clone, Debug)]
pub struct Chat {
    /// A route, a model or a version.
    pub model: Arc<str>,
    /// Whether the caller wants tokens as they come.
    pub stream: bool,
    /// Longest answer in tokens.
    pub max_tokens: u32,
    /// Length of the prompt in tokens, estimated.
    pub prompt_tokens: u32,
    /// Hash of all messages but the last.
    pub prefix: PrefixHash,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// HTTP method, in capitals.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
}

impl Service {
    /// Whether HTTP calls the method idempotent.
    pub fn is_idempotent(&self) -> bool {
        matches!(
            &*self.method,
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        )
    }

    /// Whether HTTP calls the method safe.
    pub fn is_safe(&self) -> bool {
        matches!(&*self.method, "GET" | "HEAD" | "OPTIONS" | "TRACE")
    }
}
