//! What callers hold of a session.

mod token;

pub use token::Token;
