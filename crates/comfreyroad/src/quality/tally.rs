use std::hash::BuildHasher;

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::{Cell, Count, Origin, Score, Subject};

/// Cells of origins that are gone, at most; the oldest are forgotten.
const GONE: usize = 4096;

/// Counts of all origins, merged.
///
/// The greater of two cells with one place counts, so merging is idempotent and its order does not matter. Forgetting
/// loses ratings, and never counts one twice.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    cells: IndexMap<Subject, IndexMap<Origin, Cell>>,
    sums: IndexMap<Subject, Cell>,
    hash: u64,
}

impl Tally {
    /// Takes a cell over; false where it tells nothing new.
    pub fn merge(&mut self, count: &Count) -> bool {
        if !count.cell.is_valid() {
            return false;
        }
        let cells = match self.cells.entry(count.subject.clone()) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => new.insert(IndexMap::new()),
        };
        let known = cells.entry(count.origin.clone()).or_default();
        if *known >= count.cell {
            return false;
        }
        let before = std::mem::replace(known, count.cell);
        let place = (&count.origin, &count.subject);
        self.hash ^= Self::hash_of(place, before) ^ Self::hash_of(place, count.cell);
        self.add_up(&count.subject);
        true
    }

    /// A cell, where there is one.
    pub fn cell(&self, subject: &Subject, origin: &Origin) -> Option<Cell> {
        self.cells.get(subject)?.get(origin).copied()
    }

    /// What all origins together have counted.
    pub fn sum(&self, subject: &Subject) -> Cell {
        self.sums.get(subject).copied().unwrap_or_default()
    }

    /// What is rated, with the sum of all origins.
    pub fn sums(&self) -> impl Iterator<Item = (&Subject, &Cell)> {
        self.sums.iter()
    }

    /// Cells kept.
    pub fn len(&self) -> usize {
        self.cells.values().map(IndexMap::len).sum()
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// A hash of all cells: two tallies with one hash know the same.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Some cells from a place on, wrapping around.
    pub fn slice(&self, start: usize, length: usize) -> Vec<Count> {
        let all = self.len();
        if all == 0 {
            return Vec::new();
        }
        let mut skip = start % all;
        let mut counts = Vec::new();
        for (subject, cells) in self.cells.iter().chain(&self.cells) {
            for (origin, cell) in cells.iter().skip(skip) {
                if counts.len() == length.min(all) {
                    return counts;
                }
                counts.push(Count {
                    origin: origin.clone(),
                    subject: subject.clone(),
                    cell: *cell,
                });
            }
            skip = skip.saturating_sub(cells.len());
        }
        counts
    }

    /// Forgets what rules do not name any more.
    pub fn retain(&mut self, is_named: impl Fn(&Subject) -> bool) {
        self.keep(|subject, _| is_named(subject));
    }

    /// Forgets the oldest cells of origins that are gone, where there are too many.
    pub fn forget(&mut self, lives: impl Fn(&Origin) -> bool) {
        let origins = self.cells.values().flat_map(IndexMap::keys);
        let mut gone: IndexMap<Origin, usize> = IndexMap::new();
        for origin in origins.filter(|origin| !lives(origin)) {
            *gone.entry(origin.clone()).or_default() += 1;
        }
        let mut extra = gone.values().sum::<usize>().saturating_sub(GONE);
        let mut forgotten = IndexSet::new();
        for (origin, count) in gone {
            if extra == 0 {
                break;
            }
            extra = extra.saturating_sub(count);
            forgotten.insert(origin);
        }
        if !forgotten.is_empty() {
            self.keep(|_, origin| !forgotten.contains(origin));
        }
    }

    fn keep(&mut self, keeps: impl Fn(&Subject, &Origin) -> bool) {
        let mut hash = self.hash;
        self.cells.retain(|subject, cells| {
            cells.retain(|origin, cell| {
                let is_kept = keeps(subject, origin);
                if !is_kept {
                    hash ^= Self::hash_of((origin, subject), *cell);
                }
                is_kept
            });
            !cells.is_empty()
        });
        self.hash = hash;
        let subjects: Vec<Subject> = self.sums.keys().cloned().collect();
        for subject in subjects {
            self.add_up(&subject);
        }
    }

    /// Adds up the cells that count from the newest lifted hold on. Windows before the newest one are old to all.
    fn add_up(&mut self, subject: &Subject) {
        let Some(cells) = self.cells.get(subject) else {
            self.sums.shift_remove(subject);
            return;
        };
        let since = cells.values().map(|cell| cell.since).max();
        let current = || cells.values().filter(|cell| Some(cell.since) == since);
        let window = current().map(|cell| cell.window).max().unwrap_or_default();
        let mut sum = Cell {
            since: since.unwrap_or_default(),
            window,
            old: Score::default(),
            new: Score::default(),
        };
        for cell in current() {
            sum.old += cell.old;
            if cell.window == window {
                sum.new += cell.new;
            } else {
                sum.old += cell.new;
            }
        }
        self.sums.insert(subject.clone(), sum);
    }

    fn hash_of(place: (&Origin, &Subject), cell: Cell) -> u64 {
        if cell == Cell::default() {
            return 0;
        }
        Xxh3DefaultBuilder::new().hash_one((place, cell))
    }
}
