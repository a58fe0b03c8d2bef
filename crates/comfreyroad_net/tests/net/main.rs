//! Tests of the connections, over the loopback interface.

mod breaks;
mod calls;
mod log;
mod services;
mod stop;
mod support;
