use crate::id::PoolId;

/// A pool of equivalent upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Name of the pool.
    pub id: PoolId,
    /// Kind of the upstreams.
    pub kind: PoolKind,
    /// Number of concurrent requests that a warm upstream can handle.
    pub warm_capacity: u32,
    /// Number of concurrent requests that an upstream can handle right after its start.
    pub cold_capacity: u32,
    /// How the upstreams treat orders with an old fencing number.
    pub fencing: Fencing,
}

/// Kind of the upstreams of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// How upstreams treat an order with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// They refuse it.
    Checked,
    /// They carry it out.
    Ignored,
}
