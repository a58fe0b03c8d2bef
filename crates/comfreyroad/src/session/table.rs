use std::time::Instant;

use indexmap::IndexMap;

use super::Binding;
use crate::id::SessionHash;

/// Limit on the number of bindings.
const MAX_BINDINGS: usize = 65_536;

/// Bindings of sessions with ids chosen by their callers, limited in number.
#[derive(Debug, Default)]
pub struct Table {
    bindings: IndexMap<SessionHash, Binding>,
    cursor: usize,
}

impl Table {
    /// The binding of a session, unless it has expired.
    pub fn get(&self, session: SessionHash, now: Instant) -> Option<&Binding> {
        let binding = self.bindings.get(&session)?;
        (binding.expires_at > now).then_some(binding)
    }

    /// The number of bindings, including expired ones that were not removed yet.
    pub fn len(&self) -> usize {
        self.bindings.len()
    }

    /// Whether there are no bindings.
    pub fn is_empty(&self) -> bool {
        self.bindings.is_empty()
    }

    /// Inserts a binding and evicts another one if the table is full.
    pub fn insert(&mut self, binding: Binding) {
        if self.bindings.len() >= MAX_BINDINGS && !self.bindings.contains_key(&binding.session) {
            let index = self.cursor % self.bindings.len();
            self.bindings.swap_remove_index(index);
            self.cursor = index + 1;
        }
        self.bindings.insert(binding.session, binding);
    }

    /// Visits the next `count` bindings, wrapping around at the end. Removes the expired ones and returns the others.
    pub fn sweep(&mut self, now: Instant, count: usize) -> Vec<Binding> {
        let mut swept = Vec::new();
        for _ in 0..count.min(self.bindings.len()) {
            if self.cursor >= self.bindings.len() {
                self.cursor = 0;
            }
            let Some((_, binding)) = self.bindings.get_index(self.cursor) else {
                break;
            };
            if binding.expires_at <= now {
                self.bindings.swap_remove_index(self.cursor);
                continue;
            }
            swept.push(binding.clone());
            self.cursor += 1;
        }
        swept
    }
}
