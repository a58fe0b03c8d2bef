use indexmap::IndexSet;

use crate::controller::upstreams::Versions;
use crate::id::VersionId;

/// Maximum number of versions of a pool that are remembered.
const MAX_VERSIONS: usize = 16;

/// What the rollouts of a pool have left behind: the versions that may serve requests which the present rollout does not send to
/// its target.
#[derive(Debug, Default)]
pub(super) struct Lineage {
    // The version that the last completed rollout has brought in.
    serving: Option<VersionId>,
    // Versions that were replaced, rolled back or given up, the latest last. They serve again only if a rollout brings them in.
    withdrawn: IndexSet<VersionId>,
    // Versions of which an upstream was registered, the latest last.
    registered: IndexSet<VersionId>,
}

impl Lineage {
    /// Learns that an upstream with a version is registered.
    pub(super) fn register(&mut self, version: &VersionId) {
        if !self.registered.contains(version) {
            insert(&mut self.registered, version);
        }
    }

    /// Withdraws a version, unless it is the one that serves. Returns whether it was not withdrawn before.
    pub(super) fn withdraw(&mut self, version: &VersionId) -> bool {
        let is_new = self.serving.as_ref() != Some(version) && !self.withdrawn.contains(version);
        if is_new {
            insert(&mut self.withdrawn, version);
        }
        is_new
    }

    /// Admits a version that is to be rolled out, though it may have been withdrawn before.
    pub(super) fn admit(&mut self, version: &VersionId) {
        self.withdrawn.shift_remove(version);
    }

    /// Records that the rollout of a version has completed, which withdraws all others.
    pub(super) fn complete(&mut self, version: &VersionId) {
        self.serving = Some(version.clone());
        self.withdrawn = self.withdrawn_after(version);
    }

    /// Whether a completed rollout is known.
    pub(super) fn has_serving(&self) -> bool {
        self.serving.is_some()
    }

    /// Whether a version was withdrawn.
    pub(super) fn is_withdrawn(&self, version: &VersionId) -> bool {
        self.withdrawn.contains(version)
    }

    /// The withdrawn versions, but for the target of a rollout.
    pub(super) fn withdrawn(&self, target: &VersionId) -> IndexSet<VersionId> {
        let others = self.withdrawn.iter().filter(|it| *it != target);
        others.cloned().collect()
    }

    /// The versions that are withdrawn once the rollout of a version has completed.
    pub(super) fn withdrawn_after(&self, version: &VersionId) -> IndexSet<VersionId> {
        let mut withdrawn = self.withdrawn(version);
        let replaced = self.registered.iter().filter(|it| *it != version);
        replaced.for_each(|it| insert(&mut withdrawn, it));
        withdrawn
    }

    /// The versions that are not withdrawn, but for an excluded one.
    pub(super) fn versions(&self, excluded: Option<&VersionId>) -> Versions {
        let withdrawn = self.withdrawn.iter();
        let others = excluded.filter(|it| !self.withdrawn.contains(*it));
        let excluded: Vec<VersionId> = withdrawn.chain(others).cloned().collect();
        if excluded.is_empty() {
            return Versions::Any;
        }
        Versions::Except(excluded)
    }
}

/// Inserts a version as the latest one.
fn insert(versions: &mut IndexSet<VersionId>, version: &VersionId) {
    versions.shift_remove(version);
    versions.insert(version.clone());
    if versions.len() > MAX_VERSIONS {
        versions.shift_remove_index(0);
    }
}
