use indexmap::IndexMap;

/// Events of all engines' caches, late and with gaps, as hints of what is where.
#[derive(Default)]
pub(crate) struct Index {
    known: IndexMap<(usize, u64), u32>,
    late: Vec<(f64, usize, u64, u32)>,
}

impl Index {
    /// An engine says what it has of a session; 0 when it has given it up.
    pub(crate) fn say(&mut self, due: f64, engine: usize, session: u64, tokens: u32) {
        self.late.push((due, engine, session, tokens));
    }

    /// Takes over what has come by now.
    pub(crate) fn catch_up(&mut self, now: f64) {
        let (due, late): (Vec<_>, Vec<_>) = self.late.drain(..).partition(|event| event.0 <= now);
        self.late = late;
        for (_, engine, session, tokens) in due {
            if tokens == 0 {
                self.known.swap_remove(&(engine, session));
            } else {
                self.known.insert((engine, session), tokens);
            }
        }
    }

    /// Tokens that an engine is thought to have.
    pub(crate) fn tokens(&self, engine: usize, session: u64) -> u32 {
        self.known
            .get(&(engine, session))
            .copied()
            .unwrap_or_default()
    }
}
