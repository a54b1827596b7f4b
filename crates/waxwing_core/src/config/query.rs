//! Queries on the records in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use waxwing_records::{Findings, KeyHash, Region, Service, Workspace};
use waxwing_types::{
    DomainId, Millis, RefusalReason, RegionId, Revision, ServiceId, SiteId, WorkspaceId,
};

use super::{ActiveShift, Config, ConfigCounts};
use crate::block::BlockRecords;

impl Config {
    /// The highest revision below which every record is held.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether a transfer of several pages is under way.
    pub fn is_transferring(&self) -> bool {
        self.transfer.is_some() || self.store_cursor.is_some()
    }

    /// Counts for the metrics.
    pub fn counts(&self) -> ConfigCounts {
        self.counts
    }

    /// The workspace of a key, given the key's public id and hash. `None` if the key or its
    /// workspace is unknown or withdrawn.
    pub fn workspace_for_key(&self, id: &str, hash: &KeyHash) -> Option<&WorkspaceId> {
        let key = self.index.keys.get(id);
        // An unknown id takes the same comparison, so that the time does not tell which ids exist.
        let known = key.map_or(KeyHash([0; 32]), |k| k.hash);
        let matches = known.matches(hash);
        let workspace = &key.filter(|_| matches)?.workspace;
        let exists = self.index.workspaces.contains_key(workspace);
        exists.then_some(workspace)
    }

    /// The workspace of a key whose configuration is fresh enough.
    ///
    /// # Errors
    /// [`RefusalReason::KeyInvalid`] if [`Config::workspace_for_key`] finds none,
    /// [`RefusalReason::ConfigStale`] if the configuration is older than the workspace accepts.
    pub fn check_key(
        &self,
        now: Millis,
        id: &str,
        hash: &KeyHash,
    ) -> Result<&WorkspaceId, RefusalReason> {
        let id = self.workspace_for_key(id, hash);
        let id = id.ok_or(RefusalReason::KeyInvalid)?;
        let bound = self.workspace(id).and_then(|w| w.key_staleness);
        match bound {
            Some(bound) if self.age(now) > bound => Err(RefusalReason::ConfigStale),
            Some(_) | None => Ok(id),
        }
    }

    /// A workspace.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<Workspace>> {
        self.index.workspaces.get(id)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> &BTreeMap<WorkspaceId, Arc<Workspace>> {
        &self.index.workspaces
    }

    /// A service.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<Service>> {
        self.index.services.get(id)
    }

    /// All services.
    pub fn services(&self) -> &BTreeMap<ServiceId, Arc<Service>> {
        &self.index.services
    }

    /// All regions.
    pub fn regions(&self) -> &BTreeMap<RegionId, Arc<Region>> {
        &self.index.regions
    }

    /// All failure domains with their regions.
    pub fn domains(&self) -> &BTreeMap<DomainId, RegionId> {
        &self.index.domains
    }

    /// The region of a failure domain.
    pub fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.index.domains.get(domain)
    }

    /// The failure domains that serve a site.
    pub fn domains_for_site(&self, site: &SiteId) -> &[DomainId] {
        self.index.sites.get(site).map_or(&[], Vec::as_slice)
    }

    /// All shifts in force, in the order of their names.
    pub fn shifts(&self) -> impl Iterator<Item = &ActiveShift> {
        self.index.shifts.values()
    }

    /// The shifts of a service's traffic from a region, in the order of their names.
    pub fn shifts_from(
        &self,
        service: &ServiceId,
        from: &RegionId,
    ) -> impl Iterator<Item = &ActiveShift> {
        let departures = self.index.departures.get(service);
        departures
            .into_iter()
            .flatten()
            .filter(move |(region, _)| region == from)
            .filter_map(|(_, name)| self.index.shifts.get(name))
    }

    /// The parts from which a [`crate::BlockTable`] is built.
    pub fn block_records(&self) -> &BlockRecords {
        &self.blocks
    }

    /// The version held and the version in force of the record at a path.
    pub fn versions(&self, path: &str) -> Option<(Revision, Option<Revision>)> {
        self.entries.get(path).map(|e| (e.version, e.in_force))
    }

    /// Paths whose newest version is invalid, with that version and its findings.
    pub fn rejected_records(&self) -> impl Iterator<Item = (&str, Revision, &Findings)> {
        let entries = self.entries.iter();
        entries.filter_map(|(p, e)| e.findings.as_ref().map(|f| (p.as_str(), e.version, f)))
    }

    /// Checks the indexes against the records.
    ///
    /// # Panics
    /// If they disagree.
    pub fn check_invariants(&self) {
        assert_eq!(
            self.entries.len(),
            self.by_version.len(),
            "index by version"
        );
        for (path, entry) in &self.entries {
            let key = (entry.version, path.clone());
            assert!(self.by_version.contains(&key), "{path} is not indexed");
            let in_force = entry.in_force.unwrap_or_default();
            assert!(in_force <= entry.version, "{path} is ahead of itself");
            let valid = entry.in_force == Some(entry.version);
            assert_eq!(valid, entry.findings.is_none(), "{path} findings");
        }
        if let Some(transfer) = self.transfer {
            assert!(transfer.cursor >= self.revision, "the cursor went back");
        }
    }
}
