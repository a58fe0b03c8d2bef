use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Instant;

use comfreyroad::id::Generation;
use indexmap::IndexMap;

use crate::{Error, Status, text};

type Answer = Result<Status, Error>;

/// Tracks on which entries a generation is in force. An entry never returns to an older generation, so one status
/// with the generation is enough.
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

    /// Takes the newest responses and forgets the entries that have left the list. In the last poll, a call that
    /// misses the deadline keeps the previous response.
    pub(super) fn update(&mut self, answers: Vec<(SocketAddr, Answer)>, is_last: bool) {
        let mut entries = IndexMap::new();
        for (address, answer) in answers {
            let before = self.entries.swap_remove(&address);
            let before = before.filter(|before| {
                let is_timeout = is_last && matches!(answer, Err(Error::Deadline { .. }));
                is_timeout || self.is_in_force(before) || is_gone(before)
            });
            entries.insert(address, before.unwrap_or(answer));
        }
        self.entries = entries;
    }

    /// Whether there are entries and the generation is in force on all that are not gone.
    pub(super) fn is_done(&self) -> bool {
        !self.entries.is_empty() && self.in_force_count() == self.present_count()
    }

    /// Prints on how many entries the generation is in force, and the reasons for the others.
    pub(super) fn print(&self, sent: Instant, out: &mut dyn Write) -> io::Result<()> {
        let (count, total, millis) = (
            self.in_force_count(),
            self.present_count(),
            sent.elapsed().as_millis(),
        );
        writeln!(
            out,
            "in force on {count} of {total} entries after {millis} ms"
        )?;
        for (address, answer) in &self.entries {
            if self.is_in_force(answer) || is_gone(answer) {
                continue;
            }
            let reason = match answer {
                Ok(status) => describe_lag(status),
                Err(error) => error.to_string(),
            };
            writeln!(out, "not in force: {address}: {}", text::sanitize(&reason))?;
        }
        Ok(())
    }

    fn in_force_count(&self) -> usize {
        let present = self.entries.values().filter(|answer| !is_gone(answer));
        present.filter(|answer| self.is_in_force(answer)).count()
    }

    fn present_count(&self) -> usize {
        self.entries
            .values()
            .filter(|answer| !is_gone(answer))
            .count()
    }

    fn is_in_force(&self, answer: &Answer) -> bool {
        matches!(answer, Ok(status) if status.generation >= self.generation)
    }
}

fn describe_lag(status: &Status) -> String {
    let (entry, generation) = (&status.entry, status.generation);
    let suffix = if status.is_stale() {
        ", stale, and accepts no new requests"
    } else {
        ""
    };
    format!("{entry} is at generation {generation}{suffix}")
}

fn is_gone(answer: &Answer) -> bool {
    matches!(answer, Ok(status) if status.is_gone())
}
