//! The record of a region: its failure domains, its spare capacity and its links.

use waxwing_types::{DomainId, Millis, RegionId, SiteId, common_derives};

use crate::Findings;
use crate::check::{check_name, check_names, check_range, check_unique};
use crate::workspace::MAX_RATE;

/// Bytes a second in a megabit a second.
pub(crate) const BYTES_PER_MBIT: u64 = 125_000;
/// Greatest rate of a link in bytes a second: 10 Tbit/s.
pub(crate) const MAX_LINK_RATE: u64 = 10_000_000 * BYTES_PER_MBIT;
/// Longest burst of a link, as a time at its full rate.
pub(crate) const MAX_LINK_BURST: Millis = Millis::from_secs(60);

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
    pub(crate) fn check(&self, name: &str, place: &str, out: &mut Findings) {
        if self.domains.is_empty() {
            out.add(
                format!("{place}.domains"),
                "expected at least one failure domain",
            );
        }
        let list = format!("{place}.domains");
        for (i, domain) in self.domains.iter().enumerate() {
            check_name(&format!("{list}[{i}].name"), domain.name.as_str(), out);
            check_names(&format!("{list}[{i}].sites"), &domain.sites, out);
        }
        check_unique(&list, ".name", self.domains.iter().map(|d| &d.name), out);
        check_range(
            &format!("{place}.spare_rate"),
            0,
            MAX_RATE,
            self.spare_rate,
            out,
        );
        check_range(
            &format!("{place}.spare_burst"),
            0,
            MAX_RATE,
            self.spare_burst,
            out,
        );
        if (self.spare_rate == 0) != (self.spare_burst == 0) {
            out.add(
                format!("{place}.spare_burst"),
                "expected the spare rate and the spare burst to be both 0 or both above 0",
            );
        }
        self.check_links(name, &format!("{place}.links"), out);
    }

    fn check_links(&self, name: &str, list: &str, out: &mut Findings) {
        for (i, link) in self.links.iter().enumerate() {
            check_name(&format!("{list}[{i}].to"), link.to.as_str(), out);
            if link.to.as_str() == name {
                out.add(format!("{list}[{i}].to"), "expected another region");
            }
            if link.rate == 0 || link.rate > MAX_LINK_RATE {
                let most = MAX_LINK_RATE / BYTES_PER_MBIT;
                let got = link.rate / BYTES_PER_MBIT;
                check_range(&format!("{list}[{i}].mbits"), 1, most, got, out);
            }
            // Above the rate's bound only if `burst_ms` is out of range.
            let most = link.rate.saturating_mul(MAX_LINK_BURST.0) / 1000;
            if link.rate > 0 && (link.burst == 0 || link.burst > most) {
                out.add(
                    format!("{list}[{i}].burst_ms"),
                    format!("expected 1 to {}", MAX_LINK_BURST.0),
                );
            }
        }
        check_unique(list, ".to", self.links.iter().map(|l| &l.to), out);
    }
}
