//! Messages of model engines and plain services, as specified in `docs/INTERFACES.md`.

mod cache;
mod chunk;
mod load;
mod order;
mod request;

pub use cache::{CacheEvent, CacheEvents, CacheOp};
pub use chunk::{Chunk, ChunkError, DONE};
pub use load::Load;
pub use order::{Order, OrderState, Rejection};
pub use request::request_body;
