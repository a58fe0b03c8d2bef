//! Proofs on the library: real entries, a hand-driven clock, and fakes at every interface.
//!
//! One binary, so that each part of [`bench`] is used by some proof. A new proof is a module of its own.

mod bench;
mod bookings;
mod checks;
mod config;
mod fault_matrix;
mod once;
mod ratings;
mod thin_path;
