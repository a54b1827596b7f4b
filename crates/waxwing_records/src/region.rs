//! The record of a region: its failure domains, its spare capacity and its links.

use waxwing_types::{DomainId, RegionId, SiteId, common_derives};

use crate::Findings;

common_derives! {
    /// A failure domain of a region.
    pub struct Domain {
        /// Name, unique over all regions.
        pub name: DomainId,
        /// Sites that it serves.
        pub sites: Vec<SiteId>,
    }
}

common_derives! {
    /// The share of an inter-region link that this system may use, one way.
    pub struct Link {
        /// The region at the other end.
        pub to: RegionId,
        /// Bytes a second.
        pub rate: u64,
        /// Bytes that may be sent at once.
        pub burst: u64,
    }
}

common_derives! {
    /// A region.
    pub struct Region {
        /// Failure domains.
        pub domains: Vec<Domain>,
        /// Requests a second that other regions may send here, over all VMs.
        pub spare_rate: u64,
        /// Requests that other regions may send here at once.
        pub spare_burst: u64,
        /// Links to other regions.
        pub links: Vec<Link>,
    }
}

impl Region {
    pub(crate) fn check(&self, place: &str, findings: &mut Findings) {
        if self.domains.is_empty() {
            findings.add(
                format!("{place}.domains"),
                "expected at least one failure domain",
            );
        }
        for (i, domain) in self.domains.iter().enumerate() {
            if self.domains[..i].iter().any(|d| d.name == domain.name) {
                findings.add(
                    format!("{place}.domains[{i}].name"),
                    format!("\"{}\" stands twice", domain.name),
                );
            }
        }
        for (i, link) in self.links.iter().enumerate() {
            if link.rate == 0 || link.burst == 0 {
                findings.add(
                    format!("{place}.links[{i}]"),
                    "expected a rate and a burst of at least 1 byte",
                );
            }
        }
    }
}
