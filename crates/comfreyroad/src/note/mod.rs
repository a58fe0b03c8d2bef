//! Numbered log events. `docs/EVENTS.md` lists them, and a test compares it with [`ALL`].

mod catalogue;
mod kind;
mod level;
mod note;

pub use catalogue::*;
pub use kind::Kind;
pub use level::Level;
pub use note::Note;
