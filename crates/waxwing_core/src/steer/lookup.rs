//! Lookup of the entry VMs for a client.

use std::net::IpAddr;

use waxwing_types::{DomainId, Millis, RegionId, common_derives};

use super::Steering;
use crate::member::splitmix64_finalize;
use crate::{BlockTable, Config, Members, Vm};

/// Time for which callers keep an answer. After a VM is removed, callers may use it for this long.
pub const LOOKUP_LIFETIME: Millis = Millis(5000);

/// Number of VMs in an answer from the failure domains that serve the client's site. If one VM
/// fails, the caller uses the next one. Two of them fail at the same time only with a rack.
const NEAREST_VMS: usize = 4;
/// Number of VMs in an answer from the rest of the region, in case a failure domain fails.
const REGIONAL_VMS: usize = 2;
/// Number of VMs in an answer from other regions, in case the region fails.
const REMOTE_VMS: usize = 2;

common_derives! {
    /// The entry VMs that a client should use, in order of preference.
    pub struct LookupAnswer<'a> {
        /// The entry VMs, the preferred one first.
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
    /// Finds the entry VMs for a client: first from the failure domains that serve its site, then
    /// from the rest of their region, then from other regions.
    ///
    /// A client whose site is unknown gets VMs of this VM's failure domain first.
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
    /// client determines the first domain, and the first VM within each domain.
    fn add_vms<'d>(&mut self, domains: impl Iterator<Item = &'d DomainId>, count: usize) {
        let domains: Vec<_> = domains.collect();
        let goal = self.vms.len() + count;
        for i in 0..domains.len() {
            let domain = domains[rotated_index(self.client_hash >> 32, i, domains.len())];
            let indexes = self.members.vm_indexes(domain);
            // The later domains make up for usable VMs that the earlier ones lack.
            let domains_left = domains.len() - i;
            let quota = (goal - self.vms.len()).div_ceil(domains_left);
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
        let mut left = REMOTE_VMS;
        for i in 0..regions {
            let position = rotated_index(self.client_hash >> 16, i, regions);
            let Some((name, other_region)) = config.regions().iter().nth(position) else {
                break;
            };
            if left == 0 || Some(name) == region {
                continue;
            }
            let domains = other_region.domains.iter().map(|d| &d.name);
            let before = self.vms.len();
            self.add_vms(domains.filter(|d| !nearest.contains(d)), 1);
            left -= self.vms.len() - before;
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

/// The position of element `i` after a rotation of `len` elements by a start that depends on the
/// lower half of the hash.
fn rotated_index(hash: u64, i: usize, len: usize) -> usize {
    let start = usize::try_from(hash & u64::from(u32::MAX)).unwrap_or(0);
    (start % len + i) % len
}

/// Hashes the address of a client. Of an IPv6 address, only the upper half counts.
fn client_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(v4) => splitmix64_finalize(u64::from(v4.to_bits())),
        // The hosts of a network share the first 64 bits, and a host often changes the others.
        IpAddr::V6(v6) => splitmix64_finalize((v6.to_bits() >> 64) as u64),
    }
}
