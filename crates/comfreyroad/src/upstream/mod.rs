//! Upstreams: model engines and plain services, and what they bear.
//!
//! ```text
//! Cold -> Warming -> Warm -> Leaving
//!   ^________|________|
//! ```
//!
//! An upstream that nothing is known of is cold, and any sign of a new start makes it cold again.

mod any;
mod evidence;
mod life;
mod load;
mod pause;
mod share;
mod slot;
mod vm;

pub use any::Any;
pub use evidence::{Doubt, Evidence};
pub use life::{Cold, Info, Leaving, Life, Upstream, Warm, Warming};
pub use load::Load;
pub use pause::Pause;
pub use share::Share;
pub use slot::Slot;
pub use vm::{Vm, VmKind, VmState};
