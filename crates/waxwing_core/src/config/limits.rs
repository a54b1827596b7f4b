//! The rate limits that the active records define.

use waxwing_records::{Kind, RecordName};
use waxwing_types::{DomainId, Micros, RegionId, Revision, common_derives};

use super::Config;
use crate::{LimitKey, LimitSpec};

common_derives! {
    copy
    /// The rate of a limit in tokens per second and its burst in tokens, as records state them. A
    /// [`LimitSpec`] holds both in millionths.
    struct TokenRate {
        rate: u64,
        burst: u64,
    }
}

impl Config {
    /// All limits: of workspaces, shifts, regions and links between regions.
    ///
    /// The limit of a workspace is divided over the failure domains that the workspace record
    /// lists, or over all domains if the record lists none. The other limits are divided over the
    /// domains of a region: the region itself, or the region out of which the shift or the link
    /// leads.
    ///
    /// The revision of a limit is the version of its record. If the domains come from the region
    /// records, the newest region record counts as well, and the higher version is the revision.
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
            let token_rate = TokenRate {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            specs.push(token_rate.to_spec(LimitKey::Workspace(name.clone()), domains, revision));
        }
    }

    fn add_shift_limits(&self, specs: &mut Vec<LimitSpec>) {
        for (name, active) in &self.active.shifts {
            let own_version = self.active_version(Kind::Shift, name.as_str());
            let token_rate = TokenRate {
                rate: active.shift.cap_rate,
                burst: active.shift.cap_burst,
            };
            let domains = self.domains_in(&active.shift.from);
            let revision = own_version.max(self.newest_region_version);
            specs.push(token_rate.to_spec(LimitKey::Shift(name.clone()), domains, revision));
        }
    }

    fn add_region_limits(&self, specs: &mut Vec<LimitSpec>) {
        for (name, region) in &self.active.regions {
            let domains = self.domains_in(name);
            let token_rate = TokenRate {
                rate: region.spare_rate,
                burst: region.spare_burst,
            };
            let key = LimitKey::Region(name.clone());
            specs.push(token_rate.to_spec(key, domains.clone(), self.newest_region_version));
            for link in &region.links {
                let token_rate = TokenRate {
                    rate: link.rate,
                    burst: link.burst,
                };
                let key = LimitKey::Link {
                    from: name.clone(),
                    to: link.to.clone(),
                };
                specs.push(token_rate.to_spec(key, domains.clone(), self.newest_region_version));
            }
        }
    }

    /// The failure domains that belong to a region. If several regions list a domain, the domain
    /// belongs only to the region whose name sorts first.
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

impl TokenRate {
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
