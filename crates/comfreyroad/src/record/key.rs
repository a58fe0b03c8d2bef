use crate::id::{CustomerId, RequestId};

/// Names a request among all customers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Key {
    /// Who asks.
    pub customer: CustomerId,
    /// The request, as its caller names it.
    pub request: RequestId,
}
