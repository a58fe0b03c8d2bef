//! Exchange of frames between entries.

mod client;

pub use client::Client;
