//! Contract tests of each stand-in, over HTTP on loopback addresses.

mod client;
mod engine;
mod load;
mod log;
mod options;
mod platform;
mod port;
mod service;
