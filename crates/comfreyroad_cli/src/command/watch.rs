use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Instant;

use comfreyroad::id::Generation;
use indexmap::IndexMap;

use crate::{Error, Status, text};

type Answer = Result<Status, Error>;

/// Which entries go by a generation. An entry never goes back to an older one, so it is asked until it has it once.
pub(super) struct Watch {
    generation: Generation,
    entries: IndexMap<SocketAddr, Answer>,
}

impl Watch {
    pub(super) fn new(generation: Generation) -> Self {
        Self {
            generation,
            entries: IndexMap::new(),
        }
    }

    /// Takes what the entries say that have not left the list. A last round may have been cut short.
    pub(super) fn update(&mut self, answers: Vec<(SocketAddr, Answer)>, is_last: bool) {
        let mut entries = IndexMap::new();
        for (address, answer) in answers {
            let before = self.entries.swap_remove(&address);
            let before = before.filter(|before| {
                let is_cut = is_last && matches!(answer, Err(Error::Deadline { .. }));
                is_cut || self.is_in_force(before) || is_gone(before)
            });
            entries.insert(address, before.unwrap_or(answer));
        }
        self.entries = entries;
    }

    /// Whether there are entries, and all that have not left go by the generation.
    pub(super) fn is_done(&self) -> bool {
        !self.entries.is_empty() && self.count() == self.total()
    }

    /// Tells how many entries go by the generation, and which do not.
    pub(super) fn show(&self, sent: Instant, out: &mut dyn Write) -> io::Result<()> {
        let (count, total, millis) = (self.count(), self.total(), sent.elapsed().as_millis());
        writeln!(
            out,
            "in force on {count} of {total} entries after {millis} ms"
        )?;
        for (address, answer) in &self.entries {
            if self.is_in_force(answer) || is_gone(answer) {
                continue;
            }
            let reason = match answer {
                Ok(status) => behind(status),
                Err(error) => error.to_string(),
            };
            writeln!(out, "not in force: {address}: {}", text::plain(&reason))?;
        }
        Ok(())
    }

    fn count(&self) -> usize {
        let staying = self.entries.values().filter(|answer| !is_gone(answer));
        staying.filter(|answer| self.is_in_force(answer)).count()
    }

    fn total(&self) -> usize {
        self.entries
            .values()
            .filter(|answer| !is_gone(answer))
            .count()
    }

    fn is_in_force(&self, answer: &Answer) -> bool {
        matches!(answer, Ok(status) if status.generation >= self.generation)
    }
}

fn behind(status: &Status) -> String {
    let (entry, generation) = (&status.entry, status.generation);
    let work = if status.is_stale() {
        ", stale, and takes no new work"
    } else {
        ""
    };
    format!("{entry} is at generation {generation}{work}")
}

fn is_gone(answer: &Answer) -> bool {
    matches!(answer, Ok(status) if status.is_gone())
}
