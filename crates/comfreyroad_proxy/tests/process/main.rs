//! The daemon as a process of its own, between a stand-in of the store, stand-ins of engines and callers on loopback.

mod answers;
mod engine;
mod http;
mod lifecycle;
mod site;
mod store;
mod streams;
