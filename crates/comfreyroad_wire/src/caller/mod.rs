//! Requests, refusals and answers as callers see them.

mod chat;
mod completion;
mod refusal;

pub use chat::{ChatError, chat};
pub use completion::{DONE, chunk, completion, last_chunk};
pub use refusal::{message, refusal, status};
