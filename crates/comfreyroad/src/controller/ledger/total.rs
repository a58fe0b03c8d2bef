/// The billed requests and cost of a customer or firm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// Number of requests billed.
    pub requests: u64,
    /// Cost, in millionths of the venture's currency.
    pub cost: u64,
}

impl Total {
    /// Adds another total.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.cost = self.cost.saturating_add(other.cost);
    }
}
