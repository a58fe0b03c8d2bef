use std::sync::Arc;

use crate::record::Bill;
use crate::request::Usage;

/// What a signal contributes to the answer for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Nothing new.
    Nothing,
    /// The next part of the answer.
    Bytes(Arc<[u8]>),
    /// The end of a complete answer.
    Complete {
        /// Tokens used by the answer.
        usage: Usage,
        /// The bill, once it is created. `None` for an answer that is not billed.
        bill: Option<Bill>,
    },
}
