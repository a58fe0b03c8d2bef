//! Requests, refusals and answers in the format of the callers' API.

mod chat;
mod completion;
mod refusal;

pub use chat::{ChatError, parse_chat};
pub use completion::{DONE, chunk, completion, last_chunk};
pub use refusal::{error_body, refusal_body, status_code};
