//! A request's life, from its arrival to its bill.

mod class;

pub use class::Class;
