use comfreyroad_wire::engine::{Order, OrderState, Rejection};
use indexmap::IndexSet;

use super::Fencing;
use crate::VersionId;

/// Orders that an engine took, and what came of them.
pub struct Orders {
    fencing: Fencing,
    fence: u64,
    loaded: IndexSet<VersionId>,
    loading: IndexSet<VersionId>,
    role: String,
}

impl Orders {
    /// An engine with these versions and no order yet.
    #[must_use]
    pub fn new(fencing: Fencing, versions: &[VersionId]) -> Self {
        Self {
            fencing,
            fence: 0,
            loaded: versions.iter().cloned().collect(),
            loading: IndexSet::new(),
            role: "both".to_owned(),
        }
    }

    /// Takes an order and says which versions are to be fetched now.
    pub fn take(&mut self, order: Order) -> Result<Vec<VersionId>, Rejection> {
        if self.fencing == Fencing::Checked && order.fence < self.fence {
            return Err(Rejection { fence: self.fence });
        }
        self.fence = self.fence.max(order.fence);
        if !order.role.is_empty() {
            self.role = order.role;
        }
        for version in &order.unload {
            self.loaded.shift_remove(version);
            self.loading.shift_remove(version);
        }
        let absent =
            |version: &VersionId| !self.loaded.contains(version) && !self.loading.contains(version);
        let fetch: Vec<_> = order.load.into_iter().filter(absent).collect();
        self.loading.extend(fetch.iter().cloned());
        Ok(fetch)
    }

    /// A version has come; one unloaded on its way is dropped.
    pub fn fetched(&mut self, version: &str) {
        if let Some(version) = self.loading.shift_take(version) {
            self.loaded.insert(version);
        }
    }

    /// Whether a version serves.
    #[must_use]
    pub fn serves(&self, version: &str) -> bool {
        self.loaded.contains(version)
    }

    /// Whether a version is on its way.
    #[must_use]
    pub fn is_loading(&self, version: &str) -> bool {
        self.loading.contains(version)
    }

    /// Versions that serve.
    #[must_use]
    pub fn loaded(&self) -> Vec<VersionId> {
        self.loaded.iter().cloned().collect()
    }

    /// `prefill`, `decode` or `both`.
    #[must_use]
    pub fn role(&self) -> &str {
        &self.role
    }

    /// The state as readers see it.
    #[must_use]
    pub fn state(&self) -> OrderState {
        OrderState {
            fence: self.fence,
            loaded: self.loaded(),
            loading: self.loading.iter().cloned().collect(),
            role: self.role.clone(),
        }
    }
}
