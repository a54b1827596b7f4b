//! Lookup of the site to which a client address belongs.

mod range_map;
mod records;

use std::net::IpAddr;
use std::sync::Arc;

use waxwing_types::SiteId;

use range_map::RangeMap;

pub use records::BlockRecords;

/// Maps IP prefixes to sites, as sorted arrays of disjoint address ranges.
///
/// The table is immutable, so lookups take no lock. After a change of the configuration a new table
/// is built from its [`BlockRecords`].
#[derive(Debug, Default)]
pub struct BlockTable {
    v4: RangeMap<u32>,
    /// IPv6 prefixes of up to 64 bits, by the upper half of the address.
    v6_short: RangeMap<u64>,
    /// IPv6 prefixes of more than 64 bits. They take precedence over those in `v6_short`.
    v6_long: RangeMap<u128>,
    sites: Arc<Vec<SiteId>>,
    block_count: usize,
}

impl BlockTable {
    /// Builds the table. If several records hold the same prefix, the record whose name sorts last
    /// takes precedence.
    pub fn build(records: &BlockRecords) -> Self {
        Self {
            v4: RangeMap::build(&records.prefix_lists(|r| &r.v4)),
            v6_short: RangeMap::build(&records.prefix_lists(|r| &r.v6_short)),
            v6_long: RangeMap::build(&records.prefix_lists(|r| &r.v6_long)),
            sites: records.sites(),
            block_count: records.len(),
        }
    }

    /// Returns the site of the longest prefix that contains the address.
    pub fn site(&self, address: IpAddr) -> Option<&SiteId> {
        let index = self.site_index(address)?;
        self.sites.get(usize::from(index))
    }

    /// Like [`Self::site`], but returns the index of the site instead of its name.
    pub fn site_index(&self, address: IpAddr) -> Option<u16> {
        match address.to_canonical() {
            IpAddr::V4(v4) => self.v4.find(v4.to_bits()),
            IpAddr::V6(v6) => {
                let bits = v6.to_bits();
                let upper_half = (bits >> 64) as u64;
                self.v6_long
                    .find(bits)
                    .or_else(|| self.v6_short.find(upper_half))
            }
        }
    }

    /// Number of blocks from which the table was built.
    pub fn len(&self) -> usize {
        self.block_count
    }

    /// Whether the table was built from no blocks.
    pub fn is_empty(&self) -> bool {
        self.block_count == 0
    }

    /// Bytes of memory that the arrays of the table occupy.
    pub fn allocated_bytes(&self) -> usize {
        self.v4.allocated_bytes() + self.v6_short.allocated_bytes() + self.v6_long.allocated_bytes()
    }

    /// Checks that the arrays are well-formed.
    ///
    /// # Panics
    /// If an array is not sorted or contains adjacent ranges that should have been merged.
    pub fn check_invariants(&self) {
        self.v4.check_invariants();
        self.v6_short.check_invariants();
        self.v6_long.check_invariants();
    }
}
