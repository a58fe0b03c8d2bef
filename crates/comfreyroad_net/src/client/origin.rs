/// Where the connection of a call comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From the pool, or opened if the pool has none.
    Pool,
    /// Opened for the call. The peer was alive then, which an idle connection doesn't show.
    New,
}
