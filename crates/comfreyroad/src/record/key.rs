use crate::id::{CustomerId, RequestId};

/// Identifies a request across all customers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Key {
    /// The customer.
    pub customer: CustomerId,
    /// The request id chosen by the caller.
    pub request: RequestId,
}
