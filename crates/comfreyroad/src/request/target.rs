use std::sync::Arc;

use crate::id::PrefixHash;

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Target {
    /// A chat completion by a model.
    Chat(Chat),
    /// A call to a plain service.
    Service(Service),
}

/// A chat completion.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Name of a route, a model or a version.
    pub model: Arc<str>,
    /// Whether the caller wants the tokens streamed.
    pub stream: bool,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hash of all messages except the last one.
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
    /// Whether HTTP defines the method as idempotent.
    pub fn is_idempotent(&self) -> bool {
        matches!(
            &*self.method,
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        )
    }

    /// Whether HTTP defines the method as safe.
    pub fn is_safe(&self) -> bool {
        matches!(&*self.method, "GET" | "HEAD" | "OPTIONS" | "TRACE")
    }
}
