//! What versions of a deployment change, so that a process that has an earlier one needs only the changed items.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use waxwing_types::{ServiceId, WorkspaceId, common_derives};

use crate::{CallerLimits, Deployment, HostRoute, ServiceSpec, WorkspaceSpec};

/// Most items that are kept of the changes of all versions together.
const MAX_ITEMS: usize = 128;

common_derives! {
    /// What identifies an item within a deployment.
    #[derive(Hash, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum ItemId {
        /// The route of a host and a path prefix.
        Route(SmolStr, SmolStr),
        /// A service.
        Service(ServiceId),
        /// A workspace.
        Workspace(WorkspaceId),
    }
}

common_derives! {
    /// An item of a deployment.
    #[derive(Hash, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Item {
        /// A route.
        Route(HostRoute),
        /// A service.
        Service(ServiceSpec),
        /// A workspace.
        Workspace(WorkspaceSpec),
    }
}

impl Item {
    fn id(&self) -> ItemId {
        match self {
            Self::Route(route) => route.item_id(),
            Self::Service(service) => service.item_id(),
            Self::Workspace(workspace) => workspace.item_id(),
        }
    }
}

/// An entry of one of the lists of a deployment.
trait ListedItem: Clone + Hash + PartialEq {
    fn item_id(&self) -> ItemId;
    fn to_item(&self) -> Item;
}

impl ListedItem for HostRoute {
    fn item_id(&self) -> ItemId {
        ItemId::Route(self.host.clone(), self.prefix.clone())
    }

    fn to_item(&self) -> Item {
        Item::Route(self.clone())
    }
}

impl ListedItem for ServiceSpec {
    fn item_id(&self) -> ItemId {
        ItemId::Service(self.id.clone())
    }

    fn to_item(&self) -> Item {
        Item::Service(self.clone())
    }
}

impl ListedItem for WorkspaceSpec {
    fn item_id(&self) -> ItemId {
        ItemId::Workspace(self.id.clone())
    }

    fn to_item(&self) -> Item {
        Item::Workspace(self.clone())
    }
}

common_derives! {
    /// The change of one item.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum ItemChange {
        /// The item was added or replaced.
        Set(Item),
        /// The item was removed.
        Remove(ItemId),
    }
}

impl ItemChange {
    fn id(&self) -> ItemId {
        match self {
            Self::Set(item) => item.id(),
            Self::Remove(id) => id.clone(),
        }
    }

    /// Size of the change in a patch, in bytes.
    fn encoded_bytes(&self) -> u64 {
        serde_json::to_vec(self).map_or(u64::MAX, |json| json.len() as u64)
    }
}

common_derives! {
    /// The difference between a version of a deployment and earlier ones.
    #[derive(Serialize, Deserialize)]
    pub struct DeploymentPatch {
        /// The first version that the patch brings up to date.
        pub from: u64,
        /// The version that results.
        pub version: u64,
        /// Schema version of the result.
        pub schema: u32,
        /// Whether the result uses keys.
        #[serde(rename = "keys")]
        pub uses_keys: bool,
        /// Limits of callers.
        pub limits: CallerLimits,
        /// Items that have changed since `from`, each once.
        pub changes: Vec<ItemChange>,
        /// [`Deployment::digest`] of the result.
        pub digest: u64,
    }
}

common_derives! {
    copy
    /// Why a patch cannot be used.
    pub enum PatchError {
        /// The deployment has a version that the patch does not start from.
        OtherVersion,
        /// The result differs from the deployment that the patch was made from.
        OtherContent,
    }
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherVersion => "the patch does not start from this version",
            Self::OtherContent => "the result is not the deployment that the patch was made from",
        })
    }
}

impl DeploymentPatch {
    /// Brings a deployment up to date.
    ///
    /// # Errors
    /// The deployment has a version that the patch does not start from, or the result is not what the sender has.
    pub fn apply(&self, base: &Deployment) -> Result<Deployment, PatchError> {
        if base.version < self.from || base.version >= self.version {
            return Err(PatchError::OtherVersion);
        }
        let changed: HashSet<ItemId> = self.changes.iter().map(ItemChange::id).collect();
        let mut routes = unchanged(&base.routes, &changed);
        let mut services = unchanged(&base.services, &changed);
        let mut workspaces = unchanged(workspaces(base), &changed);
        for change in &self.changes {
            match change {
                ItemChange::Set(Item::Route(route)) => routes.push(route.clone()),
                ItemChange::Set(Item::Service(service)) => services.push(service.clone()),
                ItemChange::Set(Item::Workspace(workspace)) => workspaces.push(workspace.clone()),
                ItemChange::Remove(_) => {}
            }
        }
        let patched = Deployment {
            schema: self.schema,
            version: self.version,
            routes,
            services,
            workspaces: self.uses_keys.then_some(workspaces),
            limits: self.limits,
        };
        if patched.digest() == self.digest {
            Ok(patched)
        } else {
            Err(PatchError::OtherContent)
        }
    }
}

impl Deployment {
    /// Hash of the content, whatever the order of the items. Programs that were built by different compilers may not agree
    /// on it.
    pub fn digest(&self) -> u64 {
        let workspaces_digest = digest_of(workspaces(self));
        let header = (self.schema, self.version, self.limits);
        let digest = hash_of(&(header, self.workspaces.is_some()));
        digest
            .wrapping_add(digest_of(&self.routes))
            .wrapping_add(digest_of(&self.services))
            .wrapping_add(workspaces_digest)
    }
}

/// The changes of the latest versions of a deployment.
#[derive(Debug, Default)]
pub struct ChangeLog {
    steps: VecDeque<Step>,
    item_count: usize,
}

/// What a version changed in the one before it.
#[derive(Debug)]
struct Step {
    from: u64,
    changes: Vec<ItemChange>,
}

impl ChangeLog {
    /// Records that a version replaced another one. A version that changes too much cannot be reached by a patch.
    pub fn record(&mut self, old: &Deployment, new: &Deployment) {
        let mut changes = Vec::new();
        add_changes(&old.routes, &new.routes, &mut changes);
        add_changes(&old.services, &new.services, &mut changes);
        add_changes(workspaces(old), workspaces(new), &mut changes);
        self.item_count += changes.len();
        self.steps.push_back(Step {
            from: old.version,
            changes,
        });
        while self.item_count > MAX_ITEMS || self.steps.len() > MAX_ITEMS {
            let dropped = self.steps.pop_front();
            self.item_count -= dropped.map_or(0, |step| step.changes.len());
        }
    }

    /// The patch to `latest`, the version recorded last. It contains the changes of the last version, unless they take more
    /// than `max_bytes`, and those of versions before as far as all together take no more than `packet_bytes`.
    pub fn patch(
        &self,
        latest: &Deployment,
        (packet_bytes, max_bytes): (u64, u64),
    ) -> Option<DeploymentPatch> {
        let mut from = latest.version;
        let mut changes = Vec::new();
        let mut seen_ids = HashSet::new();
        let mut bytes = 0;
        for step in self.steps.iter().rev() {
            let earlier = step.changes.iter();
            let added: Vec<_> = earlier.filter(|c| !seen_ids.contains(&c.id())).collect();
            bytes += added.iter().map(|c| c.encoded_bytes()).sum::<u64>();
            let limit = if from == latest.version {
                max_bytes
            } else {
                packet_bytes
            };
            if bytes > limit {
                break;
            }
            from = step.from;
            seen_ids.extend(added.iter().map(|change| change.id()));
            changes.extend(added.into_iter().cloned());
        }
        (from < latest.version).then(|| DeploymentPatch {
            from,
            version: latest.version,
            schema: latest.schema,
            uses_keys: latest.workspaces.is_some(),
            limits: latest.limits,
            changes,
            digest: latest.digest(),
        })
    }
}

fn workspaces(deployment: &Deployment) -> &[WorkspaceSpec] {
    deployment.workspaces.as_deref().unwrap_or_default()
}

fn unchanged<T: ListedItem>(items: &[T], changed: &HashSet<ItemId>) -> Vec<T> {
    let unchanged = items.iter().filter(|i| !changed.contains(&i.item_id()));
    unchanged.cloned().collect()
}

/// Adds the items that two lists do not share.
fn add_changes<T: ListedItem>(old: &[T], new: &[T], changes: &mut Vec<ItemChange>) {
    let old_items = old.iter().map(|item| (item.item_id(), item));
    let mut remaining: HashMap<_, _> = old_items.collect();
    let is_set = |item: &&T| remaining.remove(&item.item_id()) != Some(*item);
    let set = new.iter().filter(is_set).map(T::to_item);
    changes.extend(set.map(ItemChange::Set));
    changes.extend(remaining.into_keys().map(ItemChange::Remove));
}

fn digest_of<T: ListedItem>(items: &[T]) -> u64 {
    let hashes = items.iter().map(hash_of);
    hashes.fold(0, u64::wrapping_add)
}

fn hash_of<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
