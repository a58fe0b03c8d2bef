//! Numbered log events. `docs/EVENTS.md` is the catalogue, and a test holds it against [`ALL`].

mod catalogue;
mod kind;
mod level;
mod note;

pub use catalogue::*;
pub use kind::Kind;
pub use level::Level;
pub use note::Note;
