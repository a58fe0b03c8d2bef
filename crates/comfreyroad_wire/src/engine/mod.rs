//! Messages of model engines and plain services, in the shapes of `docs/INTERFACES.md`.

mod cache;
mod load;
mod order;

pub use cache::{CacheEvent, CacheEvents, CacheOp};
pub use load::Load;
pub use order::{Order, OrderState, Refused};
