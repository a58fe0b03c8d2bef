//! Tests of the daemon as a separate process, with a fake store, a fake engine and callers on loopback.

mod cut;
mod cuts;
mod endless;
mod engine;
mod environment;
mod flood;
mod floods;
mod http;
mod lifecycle;
mod offers;
mod responses;
mod restored;
mod stops;
mod store;
mod streams;
