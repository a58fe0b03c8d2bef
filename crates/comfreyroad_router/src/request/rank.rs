/// How much of a pool's room a request may claim for a larger model, beside the other requests of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// It is among the most urgent of its pool, and less urgent ones make room for it.
    First,
    /// It is one of the others.
    Usual,
}
