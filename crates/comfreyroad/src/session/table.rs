use std::time::Instant;

use indexmap::IndexMap;

use super::Known;
use crate::id::SessionHash;

/// Sessions that are kept at most.
const SESSIONS: usize = 65_536;

/// Sessions of callers' own ids, of bounded size.
#[derive(Debug, Default)]
pub struct Table {
    known: IndexMap<SessionHash, Known>,
    cursor: usize,
}

impl Table {
    /// A session, unless it is forgotten.
    pub fn get(&self, session: SessionHash, now: Instant) -> Option<&Known> {
        let known = self.known.get(&session)?;
        (known.until > now).then_some(known)
    }

    /// Sessions that are kept.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no session is kept.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Keeps a session; where there is no room, another one has to go.
    pub fn insert(&mut self, known: Known) {
        if self.known.len() >= SESSIONS && !self.known.contains_key(&known.session) {
            let index = self.cursor % self.known.len();
            self.known.swap_remove_index(index);
            self.cursor = index + 1;
        }
        self.known.insert(known.session, known);
    }

    /// The next few sessions of a round over all of them; those whose time is over are forgotten.
    pub fn sweep(&mut self, now: Instant, count: usize) -> Vec<Known> {
        let mut swept = Vec::new();
        for _ in 0..count.min(self.known.len()) {
            if self.cursor >= self.known.len() {
                self.cursor = 0;
            }
            let Some((_, known)) = self.known.get_index(self.cursor) else {
                break;
            };
            if known.until <= now {
                self.known.swap_remove_index(self.cursor);
                continue;
            }
            swept.push(known.clone());
            self.cursor += 1;
        }
        swept
    }
}
