use std::hash::BuildHasher;

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::{Cell, Count, Origin, Score, Subject};

/// Limit on the number of cells of entries that no longer exist; the oldest are removed.
const MAX_GONE_CELLS: usize = 4096;

/// Counts of all origins, merged.
///
/// Of two cells with the same origin and subject the greater one counts, so merging is idempotent and commutative.
/// Removing cells loses ratings, but never counts a rating twice.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    cells: IndexMap<Subject, IndexMap<Origin, Cell>>,
    sums: IndexMap<Subject, Cell>,
    hash: u64,
}

impl Tally {
    /// Merges a count; returns false if it adds nothing new.
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
        let key = (&count.origin, &count.subject);
        self.hash ^= Self::hash_of(key, before) ^ Self::hash_of(key, count.cell);
        self.update_sum(&count.subject);
        true
    }

    /// The cell of a subject and an origin, if there is one.
    pub fn cell(&self, subject: &Subject, origin: &Origin) -> Option<Cell> {
        self.cells.get(subject)?.get(origin).copied()
    }

    /// The sum of the cells of all origins.
    pub fn sum(&self, subject: &Subject) -> Cell {
        self.sums.get(subject).copied().unwrap_or_default()
    }

    /// All subjects, with the sums over all origins.
    pub fn sums(&self) -> impl Iterator<Item = (&Subject, &Cell)> {
        self.sums.iter()
    }

    /// The number of cells.
    pub fn len(&self) -> usize {
        self.cells.values().map(IndexMap::len).sum()
    }

    /// Whether there are no cells.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// A hash of all cells. Tallies with equal hashes have equal content.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Up to `length` cells from an index on, wrapping around.
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

    /// Removes subjects that the rules no longer contain.
    pub fn retain(&mut self, is_named: impl Fn(&Subject) -> bool) {
        self.retain_cells(|subject, _| is_named(subject));
    }

    /// Removes the oldest cells of origins that no longer exist, if there are too many of them.
    pub fn prune(&mut self, is_live: impl Fn(&Origin) -> bool) {
        let origins = self.cells.values().flat_map(IndexMap::keys);
        let mut gone: IndexMap<Origin, usize> = IndexMap::new();
        for origin in origins.filter(|origin| !is_live(origin)) {
            *gone.entry(origin.clone()).or_default() += 1;
        }
        let mut excess = gone.values().sum::<usize>().saturating_sub(MAX_GONE_CELLS);
        let mut pruned = IndexSet::new();
        for (origin, count) in gone {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(count);
            pruned.insert(origin);
        }
        if !pruned.is_empty() {
            self.retain_cells(|_, origin| !pruned.contains(origin));
        }
    }

    fn retain_cells(&mut self, keeps: impl Fn(&Subject, &Origin) -> bool) {
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
            self.update_sum(&subject);
        }
    }

    /// Recomputes the sum of a subject from the cells that count since the newest lifted hold. Ratings of any window
    /// but the newest one of all cells count as old.
    fn update_sum(&mut self, subject: &Subject) {
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

    fn hash_of(key: (&Origin, &Subject), cell: Cell) -> u64 {
        if cell == Cell::default() {
            return 0;
        }
        Xxh3DefaultBuilder::new().hash_one((key, cell))
    }
}
