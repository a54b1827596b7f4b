//! Queries on the active records.

use std::collections::BTreeMap;
use std::sync::Arc;

use waxwing_records::{Findings, KeyHash, Region, Service, Workspace};
use waxwing_types::{
    DomainId, Millis, RefusalReason, RegionId, Revision, ServiceId, SiteId, WorkspaceId,
};

use super::{ActiveShift, Config, ConfigCounts};
use crate::block::BlockRecords;

impl Config {
    /// The highest revision up to which this replica holds every record.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether a transfer of several pages, from peers or from the store, is not complete.
    pub fn is_transferring(&self) -> bool {
        self.peer_transfer.is_some() || self.store_transfer_cursor.is_some()
    }

    /// Numbers of applied and rejected records.
    pub fn counts(&self) -> ConfigCounts {
        self.counts
    }

    /// Returns the workspace that a key gives access to, from the key's public id and hash.
    ///
    /// Returns `None` if the hash does not match, or if the key or its workspace is unknown or
    /// withdrawn.
    pub fn workspace_for_key(&self, id: &str, hash: &KeyHash) -> Option<&WorkspaceId> {
        let key = self.active.keys.get(id);
        // The hash is compared for an unknown id too. Otherwise the response time would reveal
        // which ids exist.
        let expected = key.map_or(KeyHash([0; 32]), |k| k.hash);
        let matches = expected.matches(hash);
        let workspace = &key.filter(|_| matches)?.workspace;
        let exists = self.active.workspaces.contains_key(workspace);
        exists.then_some(workspace)
    }

    /// Like [`Config::workspace_for_key`], but also checks that the configuration is recent enough
    /// for the workspace to accept keys.
    ///
    /// # Errors
    /// [`RefusalReason::KeyInvalid`] if the key gives access to no workspace,
    /// [`RefusalReason::ConfigStale`] if the configuration is older than the workspace accepts.
    pub fn check_key(
        &self,
        now: Millis,
        id: &str,
        hash: &KeyHash,
    ) -> Result<&WorkspaceId, RefusalReason> {
        let workspace = self.workspace_for_key(id, hash);
        let workspace = workspace.ok_or(RefusalReason::KeyInvalid)?;
        let max_age = self.workspace(workspace).and_then(|w| w.key_staleness);
        match max_age {
            Some(max_age) if self.age(now) > max_age => Err(RefusalReason::ConfigStale),
            Some(_) | None => Ok(workspace),
        }
    }

    /// The active record of a workspace.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<Workspace>> {
        self.active.workspaces.get(id)
    }

    /// The active records of all workspaces.
    pub fn workspaces(&self) -> &BTreeMap<WorkspaceId, Arc<Workspace>> {
        &self.active.workspaces
    }

    /// The active record of a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<Service>> {
        self.active.services.get(id)
    }

    /// The active records of all services.
    pub fn services(&self) -> &BTreeMap<ServiceId, Arc<Service>> {
        &self.active.services
    }

    /// The active records of all regions.
    pub fn regions(&self) -> &BTreeMap<RegionId, Arc<Region>> {
        &self.active.regions
    }

    /// All failure domains, each with the region it belongs to.
    pub fn domains(&self) -> &BTreeMap<DomainId, RegionId> {
        &self.active.domain_regions
    }

    /// The region to which a failure domain belongs.
    pub fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.active.domain_regions.get(domain)
    }

    /// The failure domains that serve a site.
    pub fn domains_for_site(&self, site: &SiteId) -> &[DomainId] {
        self.active
            .site_domains
            .get(site)
            .map_or(&[], Vec::as_slice)
    }

    /// All active shifts, in the order of their names.
    pub fn shifts(&self) -> impl Iterator<Item = &ActiveShift> {
        self.active.shifts.values()
    }

    /// The active shifts that move traffic of a service out of a region, in the order of their
    /// names.
    pub fn shifts_from(
        &self,
        service: &ServiceId,
        from: &RegionId,
    ) -> impl Iterator<Item = &ActiveShift> {
        let shifts = self.active.shifts_by_service.get(service);
        shifts
            .into_iter()
            .flatten()
            .filter(move |(region, _)| region == from)
            .filter_map(|(_, name)| self.active.shifts.get(name))
    }

    /// The active `blocks` records, from which a [`crate::BlockTable`] is built.
    pub fn block_records(&self) -> &BlockRecords {
        &self.blocks
    }

    /// The newest version and the newest valid version of the record at a path. The newest valid
    /// version is active, unless it is a withdrawal.
    pub fn versions(&self, path: &str) -> Option<(Revision, Option<Revision>)> {
        self.entries
            .get(path)
            .map(|e| (e.version, e.newest_valid_version))
    }

    /// The paths of the records whose newest version is invalid, with this version and the
    /// findings.
    pub fn rejected_records(&self) -> impl Iterator<Item = (&str, Revision, &Findings)> {
        let entries = self.entries.iter();
        entries.filter_map(|(p, e)| e.findings.as_ref().map(|f| (p.as_str(), e.version, f)))
    }

    /// Checks that the indexes and versions agree with the records.
    ///
    /// # Panics
    /// If an index or a version does not agree with the records.
    pub fn check_invariants(&self) {
        assert_eq!(
            self.entries.len(),
            self.by_version.len(),
            "the version index has a different length"
        );
        for (path, entry) in &self.entries {
            let indexed = (entry.version, path.clone());
            assert!(
                self.by_version.contains(&indexed),
                "{path} is missing in the version index"
            );
            let newest_valid_version = entry.newest_valid_version.unwrap_or_default();
            assert!(
                newest_valid_version <= entry.version,
                "the newest valid version of {path} is newer than its newest version"
            );
            let valid = entry.newest_valid_version == Some(entry.version);
            assert_eq!(
                valid,
                entry.findings.is_none(),
                "{path} must have findings if and only if its newest version is invalid"
            );
        }
        if let Some(transfer) = self.peer_transfer {
            assert!(
                transfer.cursor >= self.revision,
                "the transfer cursor is behind the revision"
            );
        }
    }
}
