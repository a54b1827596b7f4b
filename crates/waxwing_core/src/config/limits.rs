//! The limits that the records in force state.

use waxwing_records::{Kind, RecordName};
use waxwing_types::{DomainId, Micros, RegionId, Revision, common_derives};

use super::Config;
use crate::{LimitKey, LimitSpec};

common_derives! {
    copy
    /// Rate and burst in whole units.
    struct Amount {
        rate: u64,
        burst: u64,
    }
}

impl Config {
    /// All limits: of workspaces, shifts, links and regions.
    pub fn limits(&self) -> Vec<LimitSpec> {
        let mut specs = Vec::new();
        self.add_workspaces(&mut specs);
        self.add_shifts(&mut specs);
        self.add_regions(&mut specs);
        specs
    }

    fn add_workspaces(&self, specs: &mut Vec<LimitSpec>) {
        for (name, workspace) in &self.index.workspaces {
            let own = self.in_force(Kind::Workspace, name.as_str());
            let (domains, revision) = if workspace.domains.is_empty() {
                let all = self.index.domains.keys().cloned().collect();
                (all, own.max(self.regions_version))
            } else {
                (workspace.domains.clone(), own)
            };
            let amount = Amount {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            specs.push(amount.spec(LimitKey::Workspace(name.clone()), domains, revision));
        }
    }

    fn add_shifts(&self, specs: &mut Vec<LimitSpec>) {
        for (name, active) in &self.index.shifts {
            let own = self.in_force(Kind::Shift, name.as_str());
            let amount = Amount {
                rate: active.shift.cap_rate,
                burst: active.shift.cap_burst,
            };
            let domains = self.domains_of(&active.shift.from);
            let revision = own.max(self.regions_version);
            specs.push(amount.spec(LimitKey::Shift(name.clone()), domains, revision));
        }
    }

    fn add_regions(&self, specs: &mut Vec<LimitSpec>) {
        for (name, region) in &self.index.regions {
            let domains = self.domains_of(name);
            let amount = Amount {
                rate: region.spare_rate,
                burst: region.spare_burst,
            };
            let key = LimitKey::Region(name.clone());
            specs.push(amount.spec(key, domains.clone(), self.regions_version));
            for link in &region.links {
                let amount = Amount {
                    rate: link.rate,
                    burst: link.burst,
                };
                let key = LimitKey::Link {
                    from: name.clone(),
                    to: link.to.clone(),
                };
                specs.push(amount.spec(key, domains.clone(), self.regions_version));
            }
        }
    }

    /// The failure domains that belong to a region.
    fn domains_of(&self, region: &RegionId) -> Vec<DomainId> {
        let all = self.index.domains.iter();
        let own = all.filter(|(_, owner)| *owner == region);
        own.map(|(domain, _)| domain.clone()).collect()
    }

    fn in_force(&self, kind: Kind, name: &str) -> Revision {
        let name = name.into();
        let path = RecordName { kind, name }.path();
        let versions = self.versions(&path);
        versions.and_then(|(_, v)| v).unwrap_or_default()
    }
}

impl Amount {
    fn spec(self, key: LimitKey, domains: Vec<DomainId>, revision: Revision) -> LimitSpec {
        LimitSpec {
            key,
            rate: Micros::from_units(self.rate),
            burst: Micros::from_units(self.burst),
            domains,
            revision,
        }
    }
}
