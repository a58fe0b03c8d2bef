use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use indexmap::IndexMap;

use super::ActiveClaim;
use crate::controller::coverage::Coverage;
use crate::event::{LogEntry, Page};
use crate::record::{Key, Outcome, Record, Writer};

/// The claims stream, read in order: who holds which request.
///
/// Of the claims of a request that were neither given back nor taken longer than a horizon ago, the earliest holds it.
/// The horizon goes by the log's own time. A claim that comes to hold a request because an earlier one grew old is not
/// sure, for that one may have been used. What a claim is worth depends on two horizons of the stream before it and no
/// more, so readers that start late come to the same verdicts or know that they can't.
#[derive(Debug)]
pub struct ClaimTable {
    horizon: Duration,
    coverage: Coverage,
    claims: IndexMap<Key, Vec<ActiveClaim>>,
    // Given back, so that a late copy of the same claim does not count.
    released: IndexMap<Writer, SystemTime>,
    claims_by_age: VecDeque<(SystemTime, Key)>,
    releases_by_age: VecDeque<(SystemTime, Writer)>,
}

impl ClaimTable {
    /// Nothing read yet.
    pub fn new(horizon: Duration) -> Self {
        Self {
            horizon,
            coverage: Coverage::default(),
            claims: IndexMap::new(),
            released: IndexMap::new(),
            claims_by_age: VecDeque::new(),
            releases_by_age: VecDeque::new(),
        }
    }

    /// Takes note of a page, before its records are fed.
    pub fn begin_page(&mut self, page: &Page) {
        self.coverage.read(page);
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
                self.on_settle(key, writer, outcome);
                Some(key)
            }
            _ => None,
        }
    }

    /// The claim that holds a request.
    pub fn holder(&self, key: &Key) -> Option<&ActiveClaim> {
        self.claims.get(key)?.first()
    }

    /// Requests and releases kept in memory.
    pub fn len(&self) -> usize {
        self.claims.len() + self.released.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn on_claim(&mut self, key: &Key, writer: &Writer, at: SystemTime) {
        if self.released.contains_key(writer) {
            return;
        }
        let claims = self.claims.entry(key.clone()).or_default();
        if claims.iter().any(|held| held.writer == *writer) {
            return;
        }
        // One horizon for the claims that may come before, another for releases that came before these.
        let from = at.checked_sub(self.horizon * 2);
        claims.push(ActiveClaim {
            writer: writer.clone(),
            at,
            is_conclusive: from.is_none_or(|from| self.coverage.covers(from)),
            outcome: None,
        });
        self.claims_by_age.push_back((at, key.clone()));
    }

    fn on_release(&mut self, key: &Key, writer: &Writer, at: SystemTime) {
        if let Some(claims) = self.claims.get_mut(key) {
            // What was used cannot be given back.
            claims.retain(|held| held.writer != *writer || held.outcome.is_some());
            if claims.is_empty() {
                self.claims.swap_remove(key);
            }
        }
        if !self.released.contains_key(writer) {
            self.released.insert(writer.clone(), at);
            self.releases_by_age.push_back((at, writer.clone()));
        }
    }

    fn on_settle(&mut self, key: &Key, writer: &Writer, outcome: &Outcome) {
        let Some(claims) = self.claims.get_mut(key) else {
            return;
        };
        let mut claims = claims.iter_mut();
        if let Some(held) = claims.find(|held| held.writer == *writer) {
            held.outcome.get_or_insert_with(|| outcome.clone());
        }
    }

    /// Forgets what is a horizon older than a record.
    fn expire(&mut self, at: SystemTime) {
        let horizon = self.horizon;
        let is_old = |then: SystemTime| then + horizon <= at;
        while let Some((_, key)) = self.claims_by_age.pop_front_if(|(then, _)| is_old(*then)) {
            let Some(claims) = self.claims.get_mut(&key) else {
                continue;
            };
            let count = claims.len();
            claims.retain(|held| !is_old(held.at));
            if claims.is_empty() {
                self.claims.swap_remove(&key);
            } else if claims.len() < count {
                claims
                    .iter_mut()
                    .for_each(|held| held.is_conclusive = false);
            }
        }
        while let Some((_, writer)) = self.releases_by_age.pop_front_if(|(then, _)| is_old(*then)) {
            self.released.swap_remove(&writer);
        }
    }
}
