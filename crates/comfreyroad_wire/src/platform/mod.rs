//! Messages of the platform's services, as specified in `docs/INTERFACES.md`.

mod append;
mod page;
mod rating;
mod vms;

pub use append::{Append, Appended};
pub use page::{Page, Record};
pub use rating::{Answer, Rating};
pub use vms::{Kind, State, Vm, Vms};
