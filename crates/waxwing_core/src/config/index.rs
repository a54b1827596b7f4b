//! The records in force, indexed for the queries of the request path.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use smol_str::SmolStr;
use waxwing_records::{Key, Kind, Record, RecordName, Region, Service, Shift, Workspace};
use waxwing_types::{
    DomainId, Millis, RegionId, ServiceId, ShiftName, SiteId, WorkspaceId, common_derives,
};

common_derives! {
    /// A planned shift with the moment from which its ramp counts.
    pub struct ActiveShift {
        /// Name of the shift.
        pub name: ShiftName,
        /// The shift.
        pub shift: Shift,
        /// When this VM first put the shift between these two regions in force.
        pub active_since: Millis,
    }
}

#[derive(Debug, Default)]
pub(super) struct Index {
    pub(super) workspaces: BTreeMap<WorkspaceId, Arc<Workspace>>,
    pub(super) keys: HashMap<SmolStr, Key>,
    pub(super) services: BTreeMap<ServiceId, Arc<Service>>,
    pub(super) regions: BTreeMap<RegionId, Arc<Region>>,
    pub(super) shifts: BTreeMap<ShiftName, ActiveShift>,
    /// The region of each failure domain. A domain that two regions name belongs to the first.
    pub(super) domains: BTreeMap<DomainId, RegionId>,
    /// The failure domains that serve each site.
    pub(super) sites: HashMap<SiteId, Vec<DomainId>>,
    /// The shifts of each service's traffic from each region, in the order of their names.
    pub(super) departures: HashMap<ServiceId, Vec<(RegionId, ShiftName)>>,
}

impl Index {
    pub(super) fn set(&mut self, now: Millis, name: &SmolStr, record: Record) {
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
                self.index_regions();
            }
            Record::Shift(shift) => self.set_shift(now, ShiftName(name.clone()), shift),
            Record::Blocks(_) => {}
        }
    }

    pub(super) fn remove(&mut self, id: &RecordName) {
        let name = &id.name;
        match id.kind {
            Kind::Workspace => drop(self.workspaces.remove(&WorkspaceId(name.clone()))),
            Kind::Key => drop(self.keys.remove(name)),
            Kind::Service => drop(self.services.remove(&ServiceId(name.clone()))),
            Kind::Region => {
                self.regions.remove(&RegionId(name.clone()));
                self.index_regions();
            }
            Kind::Shift => {
                self.shifts.remove(&ShiftName(name.clone()));
                self.index_shifts();
            }
            Kind::Blocks => {}
        }
    }

    fn set_shift(&mut self, now: Millis, name: ShiftName, shift: Shift) {
        let same = |old: &&ActiveShift| {
            let old = &old.shift;
            (&old.service, &old.from, &old.to) == (&shift.service, &shift.from, &shift.to)
        };
        // A changed percentage or cap does not make the caches cold again.
        let active_since = self
            .shifts
            .get(&name)
            .filter(same)
            .map_or(now, |s| s.active_since);
        let active = ActiveShift {
            name: name.clone(),
            shift,
            active_since,
        };
        self.shifts.insert(name, active);
        self.index_shifts();
    }

    fn index_regions(&mut self) {
        self.domains.clear();
        self.sites.clear();
        for (name, region) in &self.regions {
            for domain in &region.domains {
                self.domains
                    .entry(domain.name.clone())
                    .or_insert_with(|| name.clone());
                for site in &domain.sites {
                    let serving = self.sites.entry(site.clone()).or_default();
                    serving.push(domain.name.clone());
                }
            }
        }
    }

    fn index_shifts(&mut self) {
        self.departures.clear();
        for (name, active) in &self.shifts {
            let departures = self.departures.entry(active.shift.service.clone());
            departures
                .or_default()
                .push((active.shift.from.clone(), name.clone()));
        }
    }
}
