//! Tests of the router's decisions. The clock, the store and the peers are plain values that each test sets by hand.

mod answers;
mod chain;
mod cold;
mod configuration_check;
mod departures;
mod exchange;
mod exposure;
mod hand_over;
mod lifecycle;
mod load;
mod members;
mod models;
mod pauses;
mod quarantine;
mod rate_limits;
mod relays;
mod restorations;
mod retry_budgets;
mod rig;
mod rollouts;
mod shares;
mod subscriptions;
mod upstreams;
mod work;
