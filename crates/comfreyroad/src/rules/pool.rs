use crate::id::PoolId;

/// A pool of upstreams that serve the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub id: PoolId,
    /// What its upstreams are.
    pub kind: PoolKind,
    /// Requests that a warm upstream bears at once.
    pub bears: u32,
    /// Requests that one bears at once that has just started.
    pub cold: u32,
    /// What its upstreams do with old fencing numbers.
    pub fencing: Fencing,
}

/// What the upstreams of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// What upstreams do with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// Refuse it.
    Checked,
    /// Carry it out.
    Ignored,
}
