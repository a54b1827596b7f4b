//! The active `blocks` records, parsed to a compact form.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;

use smol_str::SmolStr;
use waxwing_records::{Block, Blocks, Findings, Kind, RecordName};
use waxwing_types::SiteId;

use super::range_map::{AddressBits, NO_SITE, Prefix};

/// Number of bits that precede the IPv4 address in an IPv4-mapped IPv6 address.
const IPV4_MAPPED_PREFIX_LEN: u8 = 96;
/// Longest IPv6 prefix that lies within the upper half of the address.
const MAX_V6_SHORT_LEN: u8 = 64;

/// The prefixes of one `blocks` record, sorted.
#[derive(Debug, Default)]
pub(super) struct PrefixLists {
    pub(super) v4: Vec<Prefix<u32>>,
    /// IPv6 prefixes of up to 64 bits, by the upper half of the address.
    pub(super) v6_short: Vec<Prefix<u64>>,
    /// IPv6 prefixes of more than 64 bits.
    pub(super) v6_long: Vec<Prefix<u128>>,
}

/// The `blocks` records from which a [`super::BlockTable`] is built.
///
/// A clone is cheap, so that the table can be built without holding the lock on the configuration.
#[derive(Clone, Debug, Default)]
pub struct BlockRecords {
    by_name: BTreeMap<SmolStr, Arc<PrefixLists>>,
    sites: Arc<Vec<SiteId>>,
    site_indexes: Arc<HashMap<SiteId, u16>>,
    generation: u64,
}

impl BlockRecords {
    /// A number that increases with each change. A table that was built at a lower generation is
    /// out of date.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of blocks in all records.
    pub fn len(&self) -> usize {
        let records = self.by_name.values();
        records
            .map(|r| r.v4.len() + r.v6_short.len() + r.v6_long.len())
            .sum()
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The known sites. The position of a site is its index.
    pub(super) fn sites(&self) -> Arc<Vec<SiteId>> {
        Arc::clone(&self.sites)
    }

    /// Selects one prefix list of each record, in the order of the names of the records.
    pub(super) fn prefix_lists<T>(&self, select: impl Fn(&PrefixLists) -> &Vec<T>) -> Vec<&[T]> {
        self.by_name
            .values()
            .map(|r| select(r).as_slice())
            .collect()
    }

    /// Renders the record at a path as JSON. Returns an empty vector if there is none.
    pub(crate) fn to_json(&self, path: &str) -> Vec<u8> {
        let Some(id) = RecordName::from_path(path) else {
            return Vec::new();
        };
        let Some(lists) = self.by_name.get(&id.name) else {
            return Vec::new();
        };
        let mut json = format!(
            r#"{{"schema":1,"kind":"blocks","name":"{}","spec":{{"blocks":["#,
            id.name
        );
        let mut separator = "";
        for (address, prefix_len, site) in lists.blocks() {
            let site = &self.sites[usize::from(site)];
            // Writing to a string cannot fail.
            let _ = write!(json, "{separator}\"{address}/{prefix_len} {site}\"");
            separator = ",";
        }
        json.push_str("]}}");
        json.into_bytes()
    }
}

impl BlockRecords {
    /// Adds a record or replaces the record of the same name.
    pub(crate) fn insert(&mut self, name: &SmolStr, blocks: &Blocks) -> Result<(), Findings> {
        let mut lists = PrefixLists::default();
        for (i, block) in blocks.blocks.iter().enumerate() {
            let Some(site) = self.site_index(&block.site) else {
                let mut findings = Findings::default();
                let place = format!("blocks/{name}: spec.blocks[{i}]");
                findings.add(
                    place,
                    format!("expected at most {NO_SITE} sites in all blocks records"),
                );
                return Err(findings);
            };
            lists.push(block, site);
        }
        lists.sort();
        self.by_name.insert(name.clone(), Arc::new(lists));
        self.generation += 1;
        Ok(())
    }

    /// Removes a record if it is a `blocks` record.
    pub(crate) fn remove(&mut self, id: &RecordName) {
        if id.kind == Kind::Blocks && self.by_name.remove(&id.name).is_some() {
            self.generation += 1;
        }
    }

    /// Returns the index of a site, or assigns one. A site keeps its index until the process ends.
    /// Returns `None` if no index is left.
    fn site_index(&mut self, site: &SiteId) -> Option<u16> {
        if let Some(index) = self.site_indexes.get(site) {
            return Some(*index);
        }
        let index = u16::try_from(self.sites.len()).ok()?;
        if index == NO_SITE {
            return None;
        }
        Arc::make_mut(&mut self.sites).push(site.clone());
        Arc::make_mut(&mut self.site_indexes).insert(site.clone(), index);
        Some(index)
    }
}

impl PrefixLists {
    fn push(&mut self, block: &Block, site: u16) {
        match canonical_prefix(block) {
            (IpAddr::V4(base), len) => self.v4.push(prefix(base.to_bits(), len, site)),
            (IpAddr::V6(base), len) if len <= MAX_V6_SHORT_LEN => {
                let upper_half = (base.to_bits() >> 64) as u64;
                self.v6_short.push(prefix(upper_half, len, site));
            }
            (IpAddr::V6(base), len) => self.v6_long.push(prefix(base.to_bits(), len, site)),
        }
    }

    fn sort(&mut self) {
        self.v4.sort_unstable();
        self.v6_short.sort_unstable();
        self.v6_long.sort_unstable();
        self.v4.shrink_to_fit();
        self.v6_short.shrink_to_fit();
        self.v6_long.shrink_to_fit();
    }

    /// All blocks as address, prefix length and site index.
    fn blocks(&self) -> impl Iterator<Item = (IpAddr, u8, u16)> {
        let v4 = self.v4.iter().map(|p| {
            let base = Ipv4Addr::from_bits(p.base);
            (IpAddr::V4(base), p.len, p.site)
        });
        let v6_short = self.v6_short.iter().map(|p| {
            let base = Ipv6Addr::from_bits(u128::from(p.base) << 64);
            (IpAddr::V6(base), p.len, p.site)
        });
        let v6_long = self.v6_long.iter().map(|p| {
            let base = Ipv6Addr::from_bits(p.base);
            (IpAddr::V6(base), p.len, p.site)
        });
        v4.chain(v6_short).chain(v6_long)
    }
}

/// Returns the base and the length of the prefix of a block.
///
/// An IPv4-mapped prefix becomes the IPv4 prefix, because a lookup does the same with the address.
fn canonical_prefix(block: &Block) -> (IpAddr, u8) {
    match (block.base, block.base.to_canonical()) {
        (IpAddr::V6(_), IpAddr::V4(v4)) if block.bits >= IPV4_MAPPED_PREFIX_LEN => {
            (IpAddr::V4(v4), block.bits - IPV4_MAPPED_PREFIX_LEN)
        }
        (base, _) => (base, block.bits),
    }
}

/// Builds a prefix. Clears the bits of the base that lie beyond the prefix length.
fn prefix<T: AddressBits>(base: T, len: u8, site: u16) -> Prefix<T> {
    let base = base.first_in_prefix(len);
    Prefix { base, len, site }
}
