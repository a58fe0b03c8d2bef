//! The contract of each stand-in, over HTTP on the loopback addresses.

mod client;
mod engine;
mod load;
mod log;
mod options;
mod platform;
mod service;
