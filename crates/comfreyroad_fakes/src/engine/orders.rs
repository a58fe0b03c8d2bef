use comfreyroad_wire::engine::{Order, OrderState, Rejection};
use indexmap::IndexSet;

use super::Fencing;
use crate::VersionId;

/// Versions and role that the accepted orders have set.
pub struct Orders {
    fencing: Fencing,
    fence: u64,
    loaded: IndexSet<VersionId>,
    loading: IndexSet<VersionId>,
    role: String,
}

impl Orders {
    /// Creates the initial state: these versions are loaded and no order has arrived.
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

    /// Applies an order and returns the versions that must now be fetched.
    pub fn apply(&mut self, order: Order) -> Result<Vec<VersionId>, Rejection> {
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
        let to_fetch: Vec<_> = order.load.into_iter().filter(absent).collect();
        self.loading.extend(to_fetch.iter().cloned());
        Ok(to_fetch)
    }

    /// Marks a version as loaded, unless it was unloaded while it was being fetched.
    pub fn finish_loading(&mut self, version: &str) {
        if let Some(version) = self.loading.shift_take(version) {
            self.loaded.insert(version);
        }
    }

    /// Whether a version is loaded.
    #[must_use]
    pub fn is_loaded(&self, version: &str) -> bool {
        self.loaded.contains(version)
    }

    /// Whether a version is being loaded.
    #[must_use]
    pub fn is_loading(&self, version: &str) -> bool {
        self.loading.contains(version)
    }

    /// Versions that are loaded.
    #[must_use]
    pub fn loaded(&self) -> Vec<VersionId> {
        self.loaded.iter().cloned().collect()
    }

    /// Role of the engine: `prefill`, `decode` or `both`.
    #[must_use]
    pub fn role(&self) -> &str {
        &self.role
    }

    /// The state that `GET /v1/orders` returns.
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
