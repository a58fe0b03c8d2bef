//! Upstreams (model engines and plain services) and the load that they can take.
//!
//! ```text
//! Cold -> Warming -> Warm -> Leaving
//!   ^________|________|
//! ```
//!
//! An upstream of unknown state is cold, and any sign of a restart makes it cold again.

mod allocation;
mod any;
mod backoff;
mod evidence;
mod load;
mod slot;
mod upstream;
mod vm;

pub use allocation::Allocation;
pub use any::Any;
pub use backoff::Backoff;
pub use evidence::{Evidence, Suspicion};
pub use load::Load;
pub use slot::Slot;
pub use upstream::{Cold, Info, Leaving, Stage, Upstream, Warm, Warming};
pub use vm::{Vm, VmKind, VmState};
