//! Membership and starting upstreams, in fleets of entries.

mod members;
mod support;
mod upstreams;
