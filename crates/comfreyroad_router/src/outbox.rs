//! The output of one turn of the event loop.

use crate::{Action, Event};

/// Collects the actions and events that controllers produce.
pub type Outbox = comfreyroad::outbox::Outbox<Action, Event>;
