//! What a turn of the loop gives rise to.

use crate::{Action, Event};

/// The router's actions and events.
pub type Outbox = comfreyroad::outbox::Outbox<Action, Event>;
