//! Upstreams: what they say of themselves, and what this entry has seen of them.

mod health;
mod load;
mod moving_average;
mod prefill_backlog;
mod prefill_speed;
mod registration;
mod running_median;
mod slot;
mod upstream;

pub use health::Health;
pub use load::Load;
pub use moving_average::MovingAverage;
pub use prefill_backlog::{PrefillBacklog, PrefillId};
pub use prefill_speed::PrefillSpeed;
pub use registration::{Registration, UpstreamStage};
pub use running_median::RunningMedian;
pub use slot::Slot;
pub use upstream::Upstream;
