//! Stand-in for the log service.

mod service;
mod settings;
mod stream;

pub use service::Service;
pub use settings::Settings;
pub use stream::Stream;
