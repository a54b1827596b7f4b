//! Answers to look-ups of entry VMs.

use std::net::IpAddr;

use waxwing_types::{DomainId, Millis, RegionId, common_derives};

use super::Steering;
use crate::member::splitmix64_finalize;
use crate::{BlockTable, Config, Members, Vm};

/// Time for which callers keep an answer. It bounds for how long they call a VM that left.
pub const LOOKUP_LIFETIME: Millis = Millis(5000);

/// VMs named of the failure domains that serve the client's site. A caller that loses one uses the
/// next, and two fail together only with a rack.
const NEAREST: usize = 4;
/// VMs named of the rest of the region, for the loss of a failure domain.
const REGIONAL: usize = 2;
/// VMs named of other regions, for the loss of the region.
const DISTANT: usize = 2;

common_derives! {
    /// The entry VMs for a client, the best first.
    pub struct LookupAnswer<'a> {
        /// The VMs.
        pub vms: Vec<&'a Vm>,
        /// Time for which the caller may keep the answer.
        pub lifetime: Millis,
    }
}

/// What one look-up works on.
struct Search<'a> {
    now: Millis,
    members: &'a Members,
    /// Spreads clients over the VMs of a failure domain.
    spread: u64,
    vms: Vec<&'a Vm>,
}

impl Steering {
    /// The entry VMs for a client: of the failure domains that serve its site, then of their
    /// region, then of others.
    ///
    /// A client of an unknown site gets the failure domain of this VM as the nearest.
    pub fn lookup<'a>(
        &self,
        now: Millis,
        config: &Config,
        blocks: &BlockTable,
        members: &'a Members,
        client: IpAddr,
    ) -> LookupAnswer<'a> {
        let site = blocks.site(client);
        let served = site.map_or(&[][..], |s| config.domains_for_site(s));
        let nearest = match served {
            [] => std::slice::from_ref(&self.domain),
            domains => domains,
        };
        let region = nearest.first().and_then(|d| config.region_of(d));
        let mut search = Search {
            now,
            members,
            spread: spread(client),
            vms: Vec::with_capacity(NEAREST + REGIONAL + DISTANT),
        };
        search.take(nearest.iter(), NEAREST);
        search.take(regional(config, region, nearest), REGIONAL);
        search.distant(config, region, nearest);
        LookupAnswer {
            vms: search.vms,
            lifetime: LOOKUP_LIFETIME,
        }
    }
}

impl Search<'_> {
    /// Adds up to `count` usable VMs of the failure domains, in turn, from a place that depends on
    /// the client.
    fn take<'d>(&mut self, domains: impl Iterator<Item = &'d DomainId>, count: usize) {
        let domains: Vec<_> = domains.collect();
        let goal = self.vms.len() + count;
        for i in 0..domains.len() {
            let domain = domains[rotated(self.spread >> 32, i, domains.len())];
            let slots = self.members.vm_indexes(domain);
            // Each domain gives its part, and the last ones what the others lack.
            let left = domains.len() - i;
            let part = (goal - self.vms.len()).div_ceil(left);
            let usable = (0..slots.len())
                .map(|k| slots[rotated(self.spread, k, slots.len())])
                .filter_map(|slot| self.members.usable_at(self.now, slot))
                .take(part);
            self.vms.extend(usable);
        }
    }

    fn distant(&mut self, config: &Config, region: Option<&RegionId>, nearest: &[DomainId]) {
        let regions = config.regions().len();
        let mut left = DISTANT;
        for i in 0..regions {
            let at = rotated(self.spread >> 16, i, regions);
            let Some((name, other)) = config.regions().iter().nth(at) else {
                break;
            };
            if left == 0 || Some(name) == region {
                continue;
            }
            let domains = other.domains.iter().map(|d| &d.name);
            let before = self.vms.len();
            self.take(domains.filter(|d| !nearest.contains(d)), 1);
            left -= self.vms.len() - before;
        }
    }
}

fn regional<'c>(
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

fn rotated(spread: u64, i: usize, len: usize) -> usize {
    let start = usize::try_from(spread & u64::from(u32::MAX)).unwrap_or(0);
    (start % len + i) % len
}

fn spread(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(v4) => splitmix64_finalize(u64::from(v4.to_bits())),
        // Hosts of one network share the first 64 bits, and one host often changes the rest.
        IpAddr::V6(v6) => splitmix64_finalize((v6.to_bits() >> 64) as u64),
    }
}
