/// What a customer owes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BilledTotal {
    /// Requests billed.
    pub requests: u64,
    /// Cost, in millionths of the venture's currency.
    pub cost: u64,
}

impl BilledTotal {
    /// Adds another sum.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.cost = self.cost.saturating_add(other.cost);
    }
}
