//! References from one record to another.

use std::collections::{BTreeMap, BTreeSet};

use waxwing_types::{DomainId, RegionId, ServiceId, WorkspaceId};

use crate::{Document, Findings, Record, RecordName, Region, Service, Shift, Workspace};

/// What the records of a deployment define.
#[derive(Default)]
struct Defined {
    workspaces: BTreeSet<WorkspaceId>,
    services: BTreeSet<ServiceId>,
    regions: BTreeSet<RegionId>,
    /// Regions that hold a failure domain of this name.
    domains: BTreeMap<DomainId, BTreeSet<RegionId>>,
}

/// Checks that what some records refer to exists in the whole deployment.
///
/// `applied` are the records to check and `others` the rest of the deployment, without earlier
/// versions of the records to check.
///
/// # Errors
/// Each reference to something that does not exist.
pub fn check_references(applied: &[Document], others: &[Document]) -> Result<(), Findings> {
    let defined = Defined::of(applied.iter().chain(others));
    let mut out = Findings::default();
    for document in applied {
        let place = format!("{}: spec", document.id);
        match &document.record {
            Some(Record::Workspace(w)) => defined.check_workspace(w, &place, &mut out),
            Some(Record::Key(k)) => {
                defined.check_workspace_name(&k.workspace, &format!("{place}.workspace"), &mut out);
            }
            Some(Record::Service(s)) => defined.check_service(s, &place, &mut out),
            Some(Record::Region(r)) => defined.check_region(&document.id, r, &place, &mut out),
            Some(Record::Shift(s)) => defined.check_shift(s, &place, &mut out),
            Some(Record::Blocks(_)) | None => {}
        }
    }
    out.or_ok(())
}

impl Defined {
    fn of<'a>(documents: impl Iterator<Item = &'a Document>) -> Self {
        let mut defined = Self::default();
        for document in documents {
            let name = document.id.name.as_str();
            match &document.record {
                Some(Record::Workspace(_)) => {
                    defined.workspaces.insert(name.into());
                }
                Some(Record::Service(_)) => {
                    defined.services.insert(name.into());
                }
                Some(Record::Region(region)) => {
                    defined.regions.insert(name.into());
                    for domain in &region.domains {
                        let holders = defined.domains.entry(domain.name.clone());
                        holders.or_default().insert(name.into());
                    }
                }
                Some(Record::Key(_) | Record::Shift(_) | Record::Blocks(_)) | None => {}
            }
        }
        defined
    }

    fn check_workspace(&self, workspace: &Workspace, place: &str, out: &mut Findings) {
        for (i, domain) in workspace.domains.iter().enumerate() {
            self.check_domain(domain, &format!("{place}.domains[{i}]"), out);
        }
    }

    fn check_service(&self, service: &Service, place: &str, out: &mut Findings) {
        for (i, name) in service.workspaces.iter().enumerate() {
            self.check_workspace_name(name, &format!("{place}.workspaces[{i}]"), out);
        }
        for (i, target) in service.targets.iter().enumerate() {
            self.check_domain(&target.domain, &format!("{place}.targets[{i}].domain"), out);
        }
    }

    fn check_region(&self, id: &RecordName, region: &Region, place: &str, out: &mut Findings) {
        for (i, domain) in region.domains.iter().enumerate() {
            let holders = self.domains.get(&domain.name).into_iter().flatten();
            for other in holders.filter(|r| r.as_str() != id.name) {
                out.add(
                    format!("{place}.domains[{i}].name"),
                    format!("\"{}\" also stands in region \"{other}\"", domain.name),
                );
            }
        }
        for (i, link) in region.links.iter().enumerate() {
            self.check_region_name(&link.to, &format!("{place}.links[{i}].to"), out);
        }
    }

    fn check_shift(&self, shift: &Shift, place: &str, out: &mut Findings) {
        if !self.services.contains(&shift.service) {
            let message = format!("no service \"{}\"", shift.service);
            out.add(format!("{place}.service"), message);
        }
        self.check_region_name(&shift.from, &format!("{place}.from"), out);
        self.check_region_name(&shift.to, &format!("{place}.to"), out);
    }

    fn check_workspace_name(&self, name: &WorkspaceId, place: &str, out: &mut Findings) {
        if !self.workspaces.contains(name) {
            out.add(place, format!("no workspace \"{name}\""));
        }
    }

    fn check_region_name(&self, name: &RegionId, place: &str, out: &mut Findings) {
        if !self.regions.contains(name) {
            out.add(place, format!("no region \"{name}\""));
        }
    }

    fn check_domain(&self, name: &DomainId, place: &str, out: &mut Findings) {
        if !self.domains.contains_key(name) {
            out.add(place, format!("no region has a failure domain \"{name}\""));
        }
    }
}
