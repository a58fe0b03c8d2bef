//! The router's decisions, driven by hand: a clock, a store and peers that are plain values.

mod answers;
mod budgets;
mod chain;
mod cold;
mod feeds;
mod life;
mod members;
mod models;
mod relays;
mod rig;
mod rollouts;
mod upstreams;
