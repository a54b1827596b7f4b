//! Lookup of the entry VMs for a client.

use std::net::IpAddr;

use waxwing_types::{DomainId, Millis, RegionId, common_derives};

use super::Steering;
use crate::member::splitmix64_finalize;
use crate::{BlockTable, Config, Members, Vm};

/// Time for which callers keep an answer. A removed VM may receive requests of callers for this
/// long after its removal.
pub const LOOKUP_LIFETIME: Millis = Millis(5000);

/// Number of VMs in an answer that come from the failure domains that serve the client's site. If a
/// VM fails, the caller uses the next VM. Two of these VMs fail together only if their rack fails.
const NEAREST_VMS: usize = 4;
/// Number of VMs in an answer that come from the rest of the region, in case a failure domain
/// fails.
const REGIONAL_VMS: usize = 2;
/// Number of VMs in an answer that come from other regions, in case the region fails.
const REMOTE_VMS: usize = 2;

common_derives! {
    /// The entry VMs that a client should use, in order of preference.
    pub struct LookupAnswer<'a> {
        /// The entry VMs, the preferred VM first.
        pub vms: Vec<&'a Vm>,
        /// Time for which the caller may keep the answer.
        pub lifetime: Millis,
    }
}

/// The state of one lookup.
struct Search<'a> {
    now: Millis,
    members: &'a Members,
    /// Hash of the client address, which spreads the clients over the VMs of a failure domain.
    client_hash: u64,
    vms: Vec<&'a Vm>,
}

impl Steering {
    /// Finds the entry VMs for a client. The VMs of the failure domains that serve the client's
    /// site come first, then VMs from the rest of the region of these domains, then VMs of other
    /// regions.
    ///
    /// If no domain is known to serve the client, the VMs of this VM's own failure domain come
    /// first.
    pub fn lookup<'a>(
        &self,
        now: Millis,
        config: &Config,
        blocks: &BlockTable,
        members: &'a Members,
        client: IpAddr,
    ) -> LookupAnswer<'a> {
        let site = blocks.site(client);
        let serving = site.map_or(&[][..], |s| config.domains_for_site(s));
        let nearest = match serving {
            [] => std::slice::from_ref(&self.domain),
            domains => domains,
        };
        let region = nearest.first().and_then(|d| config.region_of(d));
        let mut search = Search {
            now,
            members,
            client_hash: client_hash(client),
            vms: Vec::with_capacity(NEAREST_VMS + REGIONAL_VMS + REMOTE_VMS),
        };
        search.add_vms(nearest.iter(), NEAREST_VMS);
        search.add_vms(
            other_domains_of_region(config, region, nearest),
            REGIONAL_VMS,
        );
        search.add_remote_vms(config, region, nearest);
        LookupAnswer {
            vms: search.vms,
            lifetime: LOOKUP_LIFETIME,
        }
    }
}

impl Search<'_> {
    /// Adds up to `count` usable VMs, divided evenly over the failure domains. The hash of the
    /// client address determines with which domain, and with which VM of each domain, to start.
    fn add_vms<'d>(&mut self, domains: impl Iterator<Item = &'d DomainId>, count: usize) {
        let domains: Vec<_> = domains.collect();
        let max_len = self.vms.len() + count;
        for i in 0..domains.len() {
            let domain = domains[rotated_index(self.client_hash >> 32, i, domains.len())];
            let indexes = self.members.vm_indexes(domain);
            // If a domain has too few usable VMs, the quotas of the domains after it rise.
            let domains_left = domains.len() - i;
            let quota = (max_len - self.vms.len()).div_ceil(domains_left);
            let usable = (0..indexes.len())
                .map(|k| indexes[rotated_index(self.client_hash, k, indexes.len())])
                .filter_map(|index| self.members.usable_at(self.now, index))
                .take(quota);
            self.vms.extend(usable);
        }
    }

    /// Adds one usable VM from each of several other regions, up to [`REMOTE_VMS`] in total.
    fn add_remote_vms(&mut self, config: &Config, region: Option<&RegionId>, nearest: &[DomainId]) {
        let regions = config.regions().len();
        let mut remaining = REMOTE_VMS;
        for i in 0..regions {
            let position = rotated_index(self.client_hash >> 16, i, regions);
            let Some((name, other_region)) = config.regions().iter().nth(position) else {
                break;
            };
            if remaining == 0 || Some(name) == region {
                continue;
            }
            let domains = other_region.domains.iter().map(|d| &d.name);
            let count_before = self.vms.len();
            self.add_vms(domains.filter(|d| !nearest.contains(d)), 1);
            remaining -= self.vms.len() - count_before;
        }
    }
}

/// The failure domains of a region that are not among the nearest.
fn other_domains_of_region<'c>(
    config: &'c Config,
    region: Option<&RegionId>,
    nearest: &[DomainId],
) -> impl Iterator<Item = &'c DomainId> {
    let region = region.and_then(|r| config.regions().get(r));
    let domains = region.into_iter().flat_map(|r| &r.domains);
    domains
        .map(|d| &d.name)
        .filter(move |d| !nearest.contains(d))
}

/// The index of the element that is at position `i` after a rotation of `len` elements. The lower
/// half of the hash determines the first element.
fn rotated_index(hash: u64, i: usize, len: usize) -> usize {
    let start = usize::try_from(hash & u64::from(u32::MAX)).unwrap_or(0);
    (start % len + i) % len
}

/// Hashes the address of a client, or the upper half of an IPv6 address.
fn client_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(v4) => splitmix64_finalize(u64::from(v4.to_bits())),
        // The hosts of a network share the upper half. A host often changes the lower half.
        IpAddr::V6(v6) => splitmix64_finalize((v6.to_bits() >> 64) as u64),
    }
}
