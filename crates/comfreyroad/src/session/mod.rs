//! Session tokens, which callers keep, and bindings of sessions with ids chosen by callers, which entries keep.

mod binding;
pub mod share;
mod table;
mod token;

pub use binding::Binding;
pub use table::Table;
pub use token::Token;
