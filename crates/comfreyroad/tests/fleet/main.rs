//! Tests of membership and of upstream warm-up in simulated fleets of entries.

mod members;
mod support;
mod upstreams;
