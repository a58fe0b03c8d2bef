//! The router's decisions, driven by hand: a clock, a store and peers that are plain values.

mod answers;
mod chain;
mod cold;
mod lifecycle;
mod members;
mod models;
mod relays;
mod retry_budgets;
mod rig;
mod rollouts;
mod subscriptions;
mod upstreams;
