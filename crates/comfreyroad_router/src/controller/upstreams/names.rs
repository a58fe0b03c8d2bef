use std::sync::Arc;

use indexmap::IndexSet;

use crate::upstream::Registration;

/// Names that are kept; far more than the pools, zones, versions and models of a deployment.
const MAX_NAMES: usize = 1024;

/// The names in registrations. Each choice of an upstream compares those of all upstreams, which is slow if each has its own copies.
#[derive(Debug, Default)]
pub(super) struct Names {
    known: IndexSet<Arc<str>>,
}

impl Names {
    /// A copy of a registration that shares its names with others.
    pub(super) fn share(&mut self, registration: &Registration) -> Registration {
        let mut shared = registration.clone();
        let names = [&mut shared.pool, &mut shared.zone, &mut shared.version];
        for name in names.into_iter().chain(&mut shared.models) {
            *name = self.get(name);
        }
        shared
    }

    fn get(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.known.get(name) {
            return known.clone();
        }
        if self.known.len() >= MAX_NAMES {
            self.known.clear();
        }
        self.known.insert(name.clone());
        name.clone()
    }
}
