//! The rate limits that the active records define.

use waxwing_records::{Kind, RecordName};
use waxwing_types::{DomainId, Micros, RegionId, Revision, common_derives};

use super::Config;
use crate::{LimitKey, LimitSpec};

common_derives! {
    copy
    /// Rate and burst of a limit as records state them, in whole tokens.
    struct WholeTokens {
        rate: u64,
        burst: u64,
    }
}

impl Config {
    /// All limits: of workspaces, shifts, regions and links between regions.
    pub fn limits(&self) -> Vec<LimitSpec> {
        let mut specs = Vec::new();
        self.add_workspace_limits(&mut specs);
        self.add_shift_limits(&mut specs);
        self.add_region_limits(&mut specs);
        specs
    }

    fn add_workspace_limits(&self, specs: &mut Vec<LimitSpec>) {
        for (name, workspace) in &self.active.workspaces {
            let own_version = self.active_version(Kind::Workspace, name.as_str());
            let (domains, revision) = if workspace.domains.is_empty() {
                let all = self.active.domain_regions.keys().cloned().collect();
                (all, own_version.max(self.newest_region_version))
            } else {
                (workspace.domains.clone(), own_version)
            };
            let tokens = WholeTokens {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            specs.push(tokens.to_spec(LimitKey::Workspace(name.clone()), domains, revision));
        }
    }

    fn add_shift_limits(&self, specs: &mut Vec<LimitSpec>) {
        for (name, active) in &self.active.shifts {
            let own_version = self.active_version(Kind::Shift, name.as_str());
            let tokens = WholeTokens {
                rate: active.shift.cap_rate,
                burst: active.shift.cap_burst,
            };
            let domains = self.domains_in(&active.shift.from);
            let revision = own_version.max(self.newest_region_version);
            specs.push(tokens.to_spec(LimitKey::Shift(name.clone()), domains, revision));
        }
    }

    fn add_region_limits(&self, specs: &mut Vec<LimitSpec>) {
        for (name, region) in &self.active.regions {
            let domains = self.domains_in(name);
            let tokens = WholeTokens {
                rate: region.spare_rate,
                burst: region.spare_burst,
            };
            let key = LimitKey::Region(name.clone());
            specs.push(tokens.to_spec(key, domains.clone(), self.newest_region_version));
            for link in &region.links {
                let tokens = WholeTokens {
                    rate: link.rate,
                    burst: link.burst,
                };
                let key = LimitKey::Link {
                    from: name.clone(),
                    to: link.to.clone(),
                };
                specs.push(tokens.to_spec(key, domains.clone(), self.newest_region_version));
            }
        }
    }

    /// The failure domains of a region.
    fn domains_in(&self, region: &RegionId) -> Vec<DomainId> {
        let all = self.active.domain_regions.iter();
        let in_region = all.filter(|(_, owner)| *owner == region);
        in_region.map(|(domain, _)| domain.clone()).collect()
    }

    /// The active version of a record, 0 if there is none.
    fn active_version(&self, kind: Kind, name: &str) -> Revision {
        let name = name.into();
        let path = RecordName { kind, name }.path();
        let versions = self.versions(&path);
        versions.and_then(|(_, active)| active).unwrap_or_default()
    }
}

impl WholeTokens {
    fn to_spec(self, key: LimitKey, domains: Vec<DomainId>, revision: Revision) -> LimitSpec {
        LimitSpec {
            key,
            rate: Micros::from_units(self.rate),
            burst: Micros::from_units(self.burst),
            domains,
            revision,
        }
    }
}
