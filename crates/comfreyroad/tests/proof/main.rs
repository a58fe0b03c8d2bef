//! System tests of the library: real entries, a simulated clock, and fakes at every interface.
//!
//! All tests form one binary, so that no part of [`bench`] is unused. Add a new group of tests as a module.

mod bench;
mod bookings;
mod chaos;
mod checks;
mod config;
mod fault_matrix;
mod happy_path;
mod once;
mod ratings;
