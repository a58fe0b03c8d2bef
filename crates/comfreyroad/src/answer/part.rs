use std::sync::Arc;

use crate::record::Bill;
use crate::request::Usage;

/// What a signal brings the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Nothing that it does not have.
    Nothing,
    /// The next part of the answer.
    Piece(Arc<[u8]>),
    /// The end of a whole answer.
    Whole {
        /// What it took.
        usage: Usage,
        /// Its bill, once made out.
        bill: Option<Bill>,
    },
}
