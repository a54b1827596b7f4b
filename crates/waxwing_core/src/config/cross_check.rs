//! Checks of the references between records.
//!
//! A record with a dangling reference is applied nevertheless, and the reference is only reported:
//! records arrive one at a time and in any order.

use waxwing_records::Findings;
use waxwing_types::{DomainId, RegionId};

use super::Config;

impl Config {
    /// References from active records to records that are not active, and failure domains that
    /// several regions claim.
    pub fn cross_record_findings(&self) -> Findings {
        let mut findings = Findings::default();
        self.check_keys(&mut findings);
        self.check_workspaces(&mut findings);
        self.check_services(&mut findings);
        self.check_regions(&mut findings);
        self.check_shifts(&mut findings);
        findings
    }

    fn check_keys(&self, out: &mut Findings) {
        let mut keys: Vec<_> = self.active.keys.iter().collect();
        keys.sort_unstable_by_key(|(name, _)| *name);
        for (name, key) in keys {
            if !self.active.workspaces.contains_key(&key.workspace) {
                let message = format!("unknown workspace \"{}\"", key.workspace);
                out.add(format!("key/{name}: spec.workspace"), message);
            }
        }
    }

    fn check_workspaces(&self, out: &mut Findings) {
        for (name, workspace) in &self.active.workspaces {
            for (i, domain) in workspace.domains.iter().enumerate() {
                let place = format!("workspace/{name}: spec.domains[{i}]");
                self.check_domain(domain, place, out);
            }
        }
    }

    fn check_services(&self, out: &mut Findings) {
        for (name, service) in &self.active.services {
            for (i, workspace) in service.workspaces.iter().enumerate() {
                if !self.active.workspaces.contains_key(workspace) {
                    let place = format!("service/{name}: spec.workspaces[{i}]");
                    out.add(place, format!("unknown workspace \"{workspace}\""));
                }
            }
            for (i, target) in service.targets.iter().enumerate() {
                let place = format!("service/{name}: spec.targets[{i}].domain");
                self.check_domain(&target.domain, place, out);
            }
        }
    }

    fn check_regions(&self, out: &mut Findings) {
        for (name, region) in &self.active.regions {
            for (i, domain) in region.domains.iter().enumerate() {
                let owner = self.active.domain_regions.get(&domain.name);
                if let Some(owner) = owner.filter(|owner| *owner != name) {
                    let place = format!("region/{name}: spec.domains[{i}].name");
                    out.add(place, format!("belongs to region \"{owner}\" already"));
                }
            }
            for (i, link) in region.links.iter().enumerate() {
                self.check_region(&link.to, format!("region/{name}: spec.links[{i}].to"), out);
            }
        }
    }

    fn check_shifts(&self, out: &mut Findings) {
        for (name, active) in &self.active.shifts {
            let shift = &active.shift;
            if !self.active.services.contains_key(&shift.service) {
                let message = format!("unknown service \"{}\"", shift.service);
                out.add(format!("shift/{name}: spec.service"), message);
            }
            self.check_region(&shift.from, format!("shift/{name}: spec.from"), out);
            self.check_region(&shift.to, format!("shift/{name}: spec.to"), out);
        }
    }

    fn check_domain(&self, domain: &DomainId, place: String, out: &mut Findings) {
        if !self.active.domain_regions.contains_key(domain) {
            out.add(place, format!("unknown failure domain \"{domain}\""));
        }
    }

    fn check_region(&self, region: &RegionId, place: String, out: &mut Findings) {
        if !self.active.regions.contains_key(region) {
            out.add(place, format!("unknown region \"{region}\""));
        }
    }
}
