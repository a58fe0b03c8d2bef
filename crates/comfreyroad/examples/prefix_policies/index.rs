use indexmap::IndexMap;

/// An index of the cached sessions of all engines, built from cache events that arrive late and with gaps.
#[derive(Default)]
pub(crate) struct Index {
    cached: IndexMap<(usize, u64), u32>,
    pending: Vec<(f64, usize, u64, u32)>,
}

impl Index {
    /// Queues a cache event of an engine; zero tokens mean that the session was evicted.
    pub(crate) fn publish(&mut self, due: f64, engine: usize, session: u64, tokens: u32) {
        self.pending.push((due, engine, session, tokens));
    }

    /// Applies the events that have arrived by now.
    pub(crate) fn apply_due(&mut self, now: f64) {
        let (due, pending): (Vec<_>, Vec<_>) =
            self.pending.drain(..).partition(|event| event.0 <= now);
        self.pending = pending;
        for (_, engine, session, tokens) in due {
            if tokens == 0 {
                self.cached.swap_remove(&(engine, session));
            } else {
                self.cached.insert((engine, session), tokens);
            }
        }
    }

    /// Returns the number of tokens of a session that an engine has according to the index.
    pub(crate) fn tokens(&self, engine: usize, session: u64) -> u32 {
        self.cached
            .get(&(engine, session))
            .copied()
            .unwrap_or_default()
    }
}
