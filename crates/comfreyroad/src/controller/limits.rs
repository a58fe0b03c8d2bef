//! How many calls may be open at once, and how many bytes their requests may hold, by class.

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::CallId;
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::request::Class;
use crate::settings::Settings;

/// Counts open calls and the bytes of their requests.
#[derive(Debug)]
pub struct Limits {
    max_calls: usize,
    max_bytes: usize,
    open: IndexMap<CallId, usize>,
    bytes: usize,
    sheds: bool,
}

impl Limits {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            max_calls: settings.max_calls,
            max_bytes: settings.max_body_bytes,
            open: IndexMap::new(),
            bytes: 0,
            sheds: settings.has(Mechanism::Shedding),
        }
    }

    /// Bytes of the requests of all open calls.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether calls are refused early by class and deadline.
    pub fn is_shedding_enabled(&self) -> bool {
        self.sheds
    }

    /// Whether there are more calls open, or more bytes held, than a class may fill up.
    pub fn is_exceeded(&self, class: Class) -> bool {
        let percent = if self.sheds { share(class) } else { 100 };
        self.open.len() > self.max_calls * percent / 100
            || self.bytes > self.max_bytes * percent / 100
    }
}

/// Part of all room that a class may fill, in percent, so that the more urgent find some left.
fn share(class: Class) -> usize {
    match class {
        Class::Payment => 100,
        Class::Lookup => 95,
        Class::Interactive => 85,
        Class::Draft => 70,
    }
}

impl Controller for Limits {
    fn handle(&mut self, _: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::Call(request) => {
                let bytes = request.head().body.len();
                self.open.insert(request.head().call, bytes);
                self.bytes += bytes;
            }
            Event::CallEnded(call) => {
                self.bytes -= self.open.swap_remove(call).unwrap_or(0);
            }
            _ => {}
        }
    }
}
