//! Tests of the client and the server over the loopback interface.

mod aborts;
mod calls;
mod log;
mod resting;
mod services;
mod signals;
mod stop;
mod support;
mod uploads;
