use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use indexmap::IndexMap;

use crate::controller::reach::Reach;
use crate::event::{LogEntry, Page};
use crate::record::{Key, Outcome, Record, Writer};

/// The claims stream, read in order: who holds which request.
///
/// A claim counts if no other one holds its request at its place in the stream. A release gives the request back, and
/// only claims after it count. A claim is forgotten when a claim of the same request comes a horizon later by the log's
/// own time. All of this is a function of the stream, so every reader comes to the same holder.
#[derive(Debug)]
pub struct Book {
    horizon: Duration,
    reach: Reach,
    held: IndexMap<Key, Held>,
    // Given back, so that a late copy of the same claim does not count.
    released: IndexMap<Writer, SystemTime>,
    claims_by_age: VecDeque<(SystemTime, Key)>,
    releases_by_age: VecDeque<(SystemTime, Writer)>,
}

/// The claim that counts for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Who made it.
    pub writer: Writer,
    /// When the log took it.
    pub at: SystemTime,
    /// Whether this reader has read everything that could have come before it.
    pub is_sure: bool,
    /// How it ended, once known.
    pub outcome: Option<Outcome>,
}

impl Book {
    /// Nothing read yet.
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon,
            reach: Reach::default(),
            held: IndexMap::new(),
            released: IndexMap::new(),
            claims_by_age: VecDeque::new(),
            releases_by_age: VecDeque::new(),
        }
    }

    /// Takes note of a page, before its records are fed.
    pub fn begin(&mut self, page: &Page) {
        self.reach.read(page);
    }

    /// Takes the next record; says which request it concerns.
    pub fn feed<'a>(&mut self, entry: &'a LogEntry) -> Option<&'a Key> {
        self.expire(entry.at);
        match entry.record.as_ref()? {
            Record::Claim { key, writer } => {
                self.on_claim(key, writer, entry.at);
                Some(key)
            }
            Record::Release { key, writer } => {
                self.on_release(key, writer, entry.at);
                Some(key)
            }
            Record::Settle {
                key,
                writer,
                outcome,
            } => {
                let held = self.held.get_mut(key);
                if let Some(held) = held.filter(|held| held.writer == *writer) {
                    held.outcome.get_or_insert_with(|| outcome.clone());
                }
                Some(key)
            }
            _ => None,
        }
    }

    /// The claim that counts for a request.
    pub fn holder(&self, key: &Key) -> Option<&Held> {
        self.held.get(key)
    }

    /// Requests and releases kept in memory.
    pub fn len(&self) -> usize {
        self.held.len() + self.released.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn on_claim(&mut self, key: &Key, writer: &Writer, at: SystemTime) {
        if self.released.contains_key(writer) || self.held.contains_key(key) {
            return;
        }
        let horizon_before = at.checked_sub(self.horizon);
        let held = Held {
            writer: writer.clone(),
            at,
            is_sure: horizon_before.is_none_or(|from| self.reach.covers(from)),
            outcome: None,
        };
        self.held.insert(key.clone(), held);
        self.claims_by_age.push_back((at, key.clone()));
    }

    fn on_release(&mut self, key: &Key, writer: &Writer, at: SystemTime) {
        if self
            .held
            .get(key)
            .is_some_and(|held| held.writer == *writer && held.outcome.is_none())
        {
            self.held.swap_remove(key);
        }
        if self.released.insert(writer.clone(), at).is_none() {
            self.releases_by_age.push_back((at, writer.clone()));
        }
    }

    /// Forgets what is a horizon older than a record.
    fn expire(&mut self, at: SystemTime) {
        let is_old = |then: SystemTime| then + self.horizon <= at;
        while let Some((_, key)) = self.claims_by_age.pop_front_if(|(then, _)| is_old(*then)) {
            // The request may have been given back and claimed anew since.
            if self.held.get(&key).is_some_and(|held| is_old(held.at)) {
                self.held.swap_remove(&key);
            }
        }
        while let Some((_, writer)) = self.releases_by_age.pop_front_if(|(then, _)| is_old(*then)) {
            self.released.swap_remove(&writer);
        }
    }
}
