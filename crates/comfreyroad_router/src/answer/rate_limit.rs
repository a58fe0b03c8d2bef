/// What an answer says about the rate limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimit {
    /// It states none.
    Unlimited,
    /// Requests per second that the upstream takes from all entries together.
    Limited(f64),
    /// It states one that cannot be read.
    Unreadable,
}
