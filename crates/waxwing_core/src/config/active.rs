//! The active records, indexed for the queries of the request path.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use smol_str::SmolStr;
use waxwing_records::{Key, Kind, Record, RecordName, Region, Service, Shift, Workspace};
use waxwing_types::{
    DomainId, Millis, RegionId, ServiceId, ShiftName, SiteId, WorkspaceId, common_derives,
};

common_derives! {
    /// An active shift record, and the time at which its ramp started. A shift moves a percentage
    /// of the traffic of a service from one region to another.
    pub struct ActiveShift {
        /// Name of the record, by which a [`crate::LimitKey::Shift`] refers to the shift.
        pub name: ShiftName,
        /// The content of the record.
        pub shift: Shift,
        /// When the shift became active on this VM. A new version of the record keeps this time if
        /// the service and the regions are unchanged.
        pub active_since: Millis,
    }
}

/// The active records by name, except `blocks` records. These assign blocks of client addresses to
/// sites, and [`crate::BlockRecords`] holds them.
#[derive(Debug, Default)]
pub(super) struct ActiveRecords {
    pub(super) workspaces: BTreeMap<WorkspaceId, Arc<Workspace>>,
    pub(super) keys: HashMap<SmolStr, Key>,
    pub(super) services: BTreeMap<ServiceId, Arc<Service>>,
    pub(super) regions: BTreeMap<RegionId, Arc<Region>>,
    pub(super) shifts: BTreeMap<ShiftName, ActiveShift>,
    /// The region of each failure domain. If several region records list a domain, the domain
    /// belongs to the region whose name sorts first.
    pub(super) domain_regions: BTreeMap<DomainId, RegionId>,
    /// The failure domains that serve each site. A site is a named group of client addresses, see
    /// [`crate::BlockTable`].
    pub(super) site_domains: HashMap<SiteId, Vec<DomainId>>,
    /// For each service, its shifts in the order of their names. Each shift is given by the region
    /// out of which it moves traffic and by its name.
    pub(super) shifts_by_service: HashMap<ServiceId, Vec<(RegionId, ShiftName)>>,
}

impl ActiveRecords {
    /// Adds a record or replaces the record of the same name.
    pub(super) fn insert(&mut self, now: Millis, name: &SmolStr, record: Record) {
        match record {
            Record::Workspace(workspace) => {
                self.workspaces
                    .insert(WorkspaceId(name.clone()), Arc::new(workspace));
            }
            Record::Key(key) => {
                self.keys.insert(name.clone(), key);
            }
            Record::Service(service) => {
                self.services
                    .insert(ServiceId(name.clone()), Arc::new(service));
            }
            Record::Region(region) => {
                self.regions
                    .insert(RegionId(name.clone()), Arc::new(region));
                self.rebuild_region_indexes();
            }
            Record::Shift(shift) => self.insert_shift(now, ShiftName(name.clone()), shift),
            Record::Blocks(_) => {}
        }
    }

    /// Removes a record that was withdrawn.
    pub(super) fn remove(&mut self, record_name: &RecordName) {
        let name = &record_name.name;
        match record_name.kind {
            Kind::Workspace => drop(self.workspaces.remove(&WorkspaceId(name.clone()))),
            Kind::Key => drop(self.keys.remove(name)),
            Kind::Service => drop(self.services.remove(&ServiceId(name.clone()))),
            Kind::Region => {
                self.regions.remove(&RegionId(name.clone()));
                self.rebuild_region_indexes();
            }
            Kind::Shift => {
                self.shifts.remove(&ShiftName(name.clone()));
                self.rebuild_shift_index();
            }
            Kind::Blocks => {}
        }
    }

    fn insert_shift(&mut self, now: Millis, name: ShiftName, shift: Shift) {
        let same_service_and_regions = |old: &&ActiveShift| {
            let old = &old.shift;
            (&old.service, &old.from, &old.to) == (&shift.service, &shift.from, &shift.to)
        };
        // A change of the percentage or the cap does not restart the ramp, because the caches of
        // the destination are already warm.
        let active_since = self
            .shifts
            .get(&name)
            .filter(same_service_and_regions)
            .map_or(now, |s| s.active_since);
        let active = ActiveShift {
            name: name.clone(),
            shift,
            active_since,
        };
        self.shifts.insert(name, active);
        self.rebuild_shift_index();
    }

    /// Rebuilds `domain_regions` and `site_domains`.
    fn rebuild_region_indexes(&mut self) {
        self.domain_regions.clear();
        self.site_domains.clear();
        for (name, region) in &self.regions {
            for domain in &region.domains {
                self.domain_regions
                    .entry(domain.name.clone())
                    .or_insert_with(|| name.clone());
                for site in &domain.sites {
                    let domains = self.site_domains.entry(site.clone()).or_default();
                    domains.push(domain.name.clone());
                }
            }
        }
    }

    /// Rebuilds `shifts_by_service`.
    fn rebuild_shift_index(&mut self) {
        self.shifts_by_service.clear();
        for (name, active) in &self.shifts {
            let shifts = self.shifts_by_service.entry(active.shift.service.clone());
            shifts
                .or_default()
                .push((active.shift.from.clone(), name.clone()));
        }
    }
}
