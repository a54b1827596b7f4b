//! The choice of the quota coordinators of workspaces.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use waxwing_records::VmEntry;
use waxwing_types::{DomainId, Millis, WorkspaceId};

use super::{FLEET_START_TIME, Fleet, shard_score};
use crate::QuotaCoordinator;
use crate::hash::hash_bytes;

/// Number of shards into which the workspaces are divided. In each failure domain, every shard has its own
/// quota coordinator.
pub(super) const WORKSPACE_SHARDS: u64 = 4;

/// Returns the shard of a workspace, a number below [`WORKSPACE_SHARDS`].
fn workspace_shard(workspace: &WorkspaceId) -> u64 {
    hash_bytes(workspace.as_str().as_bytes()) % WORKSPACE_SHARDS
}

impl Fleet {
    /// The quota coordinator of a workspace in this VM's failure domain, as far as this VM knows.
    ///
    /// The others choose a coordinator without a stopping VM, and refill its share once its entry is gone. It therefore
    /// refills nothing, unless it is the only VM, and its coordinator is in another failure domain if none of its own is live.
    pub fn quota_coordinator(
        &self,
        now: Millis,
        workspace: &WorkspaceId,
    ) -> QuotaCoordinator<SocketAddr> {
        let shard = workspace_shard(workspace);
        let live: Vec<_> = self
            .other_vms_in_domain()
            .filter(|vm| self.takes_duties(vm, now))
            .collect();
        let highest = live
            .iter()
            .max_by_key(|vm| shard_score(&vm.entry.id, shard));
        let own_score = shard_score(&self.own.id, shard);
        let (other, share_count) = match (highest, self.stops_alone) {
            (Some(vm), None) if shard_score(&vm.entry.id, shard) < own_score => {
                (None, live.len() + 1)
            }
            (None, None) => (None, usize::from(!self.is_new_to_others(now))),
            (Some(vm), _) => (Some(vm.entry.peer), 0),
            (None, Some(stops_alone)) => {
                let other_domain = self.other_domain_coordinators(workspace).first().copied();
                (other_domain, usize::from(stops_alone))
            }
        };
        other.map_or(
            QuotaCoordinator::Local { share_count },
            QuotaCoordinator::Remote,
        )
    }

    /// Whether this VM joins a fleet that serves, and no other VM has shown by a heartbeat that it knows this VM. Until then, the
    /// others divide quotas without it. A VM that is alone in its region gets no heartbeats.
    fn is_new_to_others(&self, now: Millis) -> bool {
        self.joins()
            && now.since(self.started_at) < FLEET_START_TIME
            && !self.other_vms().any(|vm| vm.sends_heartbeats(now))
    }

    /// Peer addresses of a workspace's quota coordinators in the other failure domains, as far as this VM
    /// knows. Coordinators in this VM's region come first.
    pub fn other_domain_coordinators(&self, workspace: &WorkspaceId) -> Vec<SocketAddr> {
        let coordinators = self.other_domain_coordinator_entries(workspace);
        coordinators.into_iter().map(|entry| entry.peer).collect()
    }

    /// Peer addresses of a workspace's quota coordinators in the other regions, as far as this VM knows.
    pub fn other_region_coordinators(&self, workspace: &WorkspaceId) -> Vec<SocketAddr> {
        let coordinators = self.other_domain_coordinator_entries(workspace).into_iter();
        let other_regions = coordinators.filter(|entry| entry.region != self.own.region);
        other_regions.map(|entry| entry.peer).collect()
    }

    /// Entries of a workspace's quota coordinators in the other failure domains. The registered VM with the
    /// highest score in a domain counts as the coordinator, whether or not the registered VM is live.
    fn other_domain_coordinator_entries(&self, workspace: &WorkspaceId) -> Vec<&VmEntry> {
        let shard = workspace_shard(workspace);
        let mut highest: BTreeMap<&DomainId, &VmEntry> = BTreeMap::new();
        for vm in self
            .other_vms()
            .filter(|vm| vm.entry.domain != self.own.domain)
        {
            let current = highest.entry(&vm.entry.domain).or_insert(&vm.entry);
            if shard_score(&vm.entry.id, shard) > shard_score(&current.id, shard) {
                *current = &vm.entry;
            }
        }
        let mut coordinators: Vec<_> = highest.into_values().collect();
        coordinators.sort_by_key(|entry| entry.region != self.own.region);
        coordinators
    }
}
