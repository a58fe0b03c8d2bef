//! What callers hold of a session, and what entries keep of those that bring ids of their own.

mod known;
pub mod share;
mod table;
mod token;

pub use known::Known;
pub use table::Table;
pub use token::Token;
