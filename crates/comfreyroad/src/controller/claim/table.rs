use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use indexmap::IndexMap;

use super::Claim;
use crate::controller::coverage::Coverage;
use crate::event::{LogEntry, Page};
use crate::record::{Key, Outcome, Record, Writer};

/// The active claims of each request, built by reading the claims stream in order.
///
/// A claim is active until it is released or older than the horizon, by the log's timestamps. The earliest active claim
/// of a request holds it. A claim that becomes the holder because an earlier one expired is inconclusive, since the
/// earlier one may have been used. The result for a claim depends only on the two horizons of the stream before it, so
/// readers that start late reach the same result or know that they cannot.
#[derive(Debug)]
pub struct Table {
    horizon: Duration,
    coverage: Coverage,
    claims: IndexMap<Key, Vec<Claim>>,
    // Writers that released their claim, so that a late duplicate of the same claim is ignored.
    released: IndexMap<Writer, SystemTime>,
    claims_by_age: VecDeque<(SystemTime, Key)>,
    releases_by_age: VecDeque<(SystemTime, Writer)>,
}

impl Table {
    /// Creates an empty table.
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

    /// Records the extent of a page; called before its records are fed.
    pub fn begin_page(&mut self, page: &Page) {
        self.coverage.add_page(page);
    }

    /// Applies the next record and returns the request that it concerns.
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

    /// Returns the claim that holds a request.
    pub fn holder(&self, key: &Key) -> Option<&Claim> {
        self.claims.get(key)?.first()
    }

    /// Number of requests and releases in memory.
    pub fn len(&self) -> usize {
        self.claims.len() + self.released.len()
    }

    /// Whether the table is empty.
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
        // One horizon for earlier claims that may still be active, another for releases that precede those claims.
        let needed_from = at.checked_sub(self.horizon * 2);
        claims.push(Claim {
            writer: writer.clone(),
            at,
            is_conclusive: needed_from.is_none_or(|needed_from| self.coverage.covers(needed_from)),
            outcome: None,
        });
        self.claims_by_age.push_back((at, key.clone()));
    }

    fn on_release(&mut self, key: &Key, writer: &Writer, at: SystemTime) {
        if let Some(claims) = self.claims.get_mut(key) {
            // A settled claim was used, so a release no longer applies.
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

    /// Removes claims and releases that are at least a horizon older than the record at `at`.
    fn expire(&mut self, at: SystemTime) {
        let horizon = self.horizon;
        let is_expired = |taken_at: SystemTime| taken_at + horizon <= at;
        while let Some((_, key)) = self
            .claims_by_age
            .pop_front_if(|(taken_at, _)| is_expired(*taken_at))
        {
            let Some(claims) = self.claims.get_mut(&key) else {
                continue;
            };
            let count = claims.len();
            claims.retain(|held| !is_expired(held.at));
            if claims.is_empty() {
                self.claims.swap_remove(&key);
            } else if claims.len() < count {
                claims
                    .iter_mut()
                    .for_each(|held| held.is_conclusive = false);
            }
        }
        while let Some((_, writer)) = self
            .releases_by_age
            .pop_front_if(|(taken_at, _)| is_expired(*taken_at))
        {
            self.released.swap_remove(&writer);
        }
    }
}
