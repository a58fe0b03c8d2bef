//! Limits on the number of open calls and on the bytes of their requests, by class.

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::id::CallId;
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::request::Class;
use crate::settings::Settings;

/// Counts open calls and the bytes of their requests against the limits.
#[derive(Debug)]
pub struct Limits {
    max_calls: usize,
    max_bytes: usize,
    open: IndexMap<CallId, usize>,
    bytes: usize,
    is_shedding: bool,
}

impl Limits {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            max_calls: settings.max_calls,
            max_bytes: settings.max_body_bytes,
            open: IndexMap::new(),
            bytes: 0,
            is_shedding: settings.is_enabled(Mechanism::Shedding),
        }
    }

    /// Number of bytes in the requests of all open calls.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether calls are refused early according to class and deadline.
    pub fn is_shedding_enabled(&self) -> bool {
        self.is_shedding
    }

    /// Whether more calls are open, or more bytes held, than the limit for a class allows.
    pub fn is_exceeded(&self, class: Class) -> bool {
        let percent = if self.is_shedding {
            limit_percent(class)
        } else {
            100
        };
        self.open.len() > self.max_calls * percent / 100
            || self.bytes > self.max_bytes * percent / 100
    }
}

/// Percentage of the limits that is available to a class, so that capacity remains for more urgent classes.
fn limit_percent(class: Class) -> usize {
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
