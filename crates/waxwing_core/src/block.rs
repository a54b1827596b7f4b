//! Look-up of the site of a client address.

mod flat;
mod part;

use std::net::IpAddr;
use std::sync::Arc;

use waxwing_types::SiteId;

use flat::Flat;

pub use part::BlockRecords;

/// IP prefixes and their sites, as sorted arrays of disjoint ranges.
///
/// The table is immutable, so that look-ups take no lock; a change builds another from the
/// [`BlockRecords`] of the configuration.
#[derive(Debug, Default)]
pub struct BlockTable {
    v4: Flat<u32>,
    /// IPv6 prefixes of up to 64 bits, by the upper half of the address.
    short: Flat<u64>,
    /// Longer IPv6 prefixes, which win over all in `short`.
    long: Flat<u128>,
    sites: Arc<Vec<SiteId>>,
    blocks: usize,
}

impl BlockTable {
    /// Builds the table. Where two parts hold the same prefix, the last by name wins.
    pub fn build(parts: &BlockRecords) -> Self {
        Self {
            v4: Flat::build(&parts.lists(|p| &p.v4)),
            short: Flat::build(&parts.lists(|p| &p.short)),
            long: Flat::build(&parts.lists(|p| &p.long)),
            sites: parts.sites(),
            blocks: parts.len(),
        }
    }

    /// The site of the longest prefix that holds the address.
    pub fn site(&self, address: IpAddr) -> Option<&SiteId> {
        let index = self.site_index(address)?;
        self.sites.get(usize::from(index))
    }

    /// The number of the site of an address.
    pub fn site_index(&self, address: IpAddr) -> Option<u16> {
        match address.to_canonical() {
            IpAddr::V4(v4) => self.v4.find(v4.to_bits()),
            IpAddr::V6(v6) => {
                let bits = v6.to_bits();
                let upper = (bits >> 64) as u64;
                self.long.find(bits).or_else(|| self.short.find(upper))
            }
        }
    }

    /// Number of blocks from which the table was built.
    pub fn len(&self) -> usize {
        self.blocks
    }

    /// Whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.blocks == 0
    }

    /// Bytes of the arrays.
    pub fn allocated_bytes(&self) -> usize {
        self.v4.bytes() + self.short.bytes() + self.long.bytes()
    }

    /// Checks the arrays.
    ///
    /// # Panics
    /// If one is not sorted or longer than it needs to be.
    pub fn check_invariants(&self) {
        self.v4.check_invariants();
        self.short.check_invariants();
        self.long.check_invariants();
    }
}
