//! The `blocks` records in force, in compact form.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;

use smol_str::SmolStr;
use waxwing_records::{Block, Blocks, Findings, Kind, RecordName};
use waxwing_types::SiteId;

use super::flat::{NO_SITE, Prefix, Word};

/// Bits of an IPv4-mapped IPv6 address before the IPv4 address.
const MAPPED_BITS: u8 = 96;
/// Longest IPv6 prefix that the upper half of an address tells.
const SHORT_BITS: u8 = 64;

#[derive(Debug, Default)]
pub(super) struct Part {
    pub(super) v4: Vec<Prefix<u32>>,
    pub(super) short: Vec<Prefix<u64>>,
    pub(super) long: Vec<Prefix<u128>>,
}

/// The records from which a [`super::BlockTable`] is built. A clone is cheap, so that the table is
/// built without the lock on the configuration.
#[derive(Clone, Debug, Default)]
pub struct BlockRecords {
    parts: BTreeMap<SmolStr, Arc<Part>>,
    sites: Arc<Vec<SiteId>>,
    numbers: Arc<HashMap<SiteId, u16>>,
    generation: u64,
}

impl BlockRecords {
    /// Increases with each change. A table built at a lower generation is out of date.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        let parts = self.parts.values();
        parts
            .map(|p| p.v4.len() + p.short.len() + p.long.len())
            .sum()
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(super) fn sites(&self) -> Arc<Vec<SiteId>> {
        Arc::clone(&self.sites)
    }

    pub(super) fn lists<T>(&self, of: impl Fn(&Part) -> &Vec<T>) -> Vec<&[T]> {
        self.parts.values().map(|p| of(p).as_slice()).collect()
    }

    /// The record at a path as JSON.
    pub(crate) fn render(&self, path: &str) -> Vec<u8> {
        let Some(id) = RecordName::from_path(path) else {
            return Vec::new();
        };
        let Some(part) = self.parts.get(&id.name) else {
            return Vec::new();
        };
        let mut json = format!(
            r#"{{"schema":1,"kind":"blocks","name":"{}","spec":{{"blocks":["#,
            id.name
        );
        let mut comma = "";
        for (address, bits, site) in part.blocks() {
            let site = &self.sites[usize::from(site)];
            // Writing to a string cannot fail.
            let _ = write!(json, "{comma}\"{address}/{bits} {site}\"");
            comma = ",";
        }
        json.push_str("]}}");
        json.into_bytes()
    }
}

impl BlockRecords {
    /// Replaces the record of this name.
    pub(crate) fn set(&mut self, name: &SmolStr, blocks: &Blocks) -> Result<(), Findings> {
        let mut part = Part::default();
        for (i, block) in blocks.blocks.iter().enumerate() {
            let Some(site) = self.number(&block.site) else {
                let mut findings = Findings::default();
                let place = format!("blocks/{name}: spec.blocks[{i}]");
                findings.add(place, format!("expected at most {NO_SITE} sites"));
                return Err(findings);
            };
            part.push(block, site);
        }
        part.sort();
        self.parts.insert(name.clone(), Arc::new(part));
        self.generation += 1;
        Ok(())
    }

    pub(crate) fn remove(&mut self, id: &RecordName) {
        if id.kind == Kind::Blocks && self.parts.remove(&id.name).is_some() {
            self.generation += 1;
        }
    }

    /// The number of a site, which it keeps for the life of the process.
    fn number(&mut self, site: &SiteId) -> Option<u16> {
        if let Some(number) = self.numbers.get(site) {
            return Some(*number);
        }
        let number = u16::try_from(self.sites.len()).ok()?;
        if number == NO_SITE {
            return None;
        }
        Arc::make_mut(&mut self.sites).push(site.clone());
        Arc::make_mut(&mut self.numbers).insert(site.clone(), number);
        Some(number)
    }
}

impl Part {
    fn push(&mut self, block: &Block, site: u16) {
        match canonical(block) {
            (IpAddr::V4(base), bits) => self.v4.push(prefix(base.to_bits(), bits, site)),
            (IpAddr::V6(base), bits) if bits <= SHORT_BITS => {
                let upper = (base.to_bits() >> 64) as u64;
                self.short.push(prefix(upper, bits, site));
            }
            (IpAddr::V6(base), bits) => self.long.push(prefix(base.to_bits(), bits, site)),
        }
    }

    fn sort(&mut self) {
        self.v4.sort_unstable();
        self.short.sort_unstable();
        self.long.sort_unstable();
        self.v4.shrink_to_fit();
        self.short.shrink_to_fit();
        self.long.shrink_to_fit();
    }

    fn blocks(&self) -> impl Iterator<Item = (IpAddr, u8, u16)> {
        let v4 = self.v4.iter().map(|p| {
            let base = Ipv4Addr::from_bits(p.base);
            (IpAddr::V4(base), p.bits, p.site)
        });
        let short = self.short.iter().map(|p| {
            let base = Ipv6Addr::from_bits(u128::from(p.base) << 64);
            (IpAddr::V6(base), p.bits, p.site)
        });
        let long = self.long.iter().map(|p| {
            let base = Ipv6Addr::from_bits(p.base);
            (IpAddr::V6(base), p.bits, p.site)
        });
        v4.chain(short).chain(long)
    }
}

/// Treats an IPv4-mapped prefix as the IPv4 prefix, as a look-up treats the address.
fn canonical(block: &Block) -> (IpAddr, u8) {
    match (block.base, block.base.to_canonical()) {
        (IpAddr::V6(_), IpAddr::V4(v4)) if block.bits >= MAPPED_BITS => {
            (IpAddr::V4(v4), block.bits - MAPPED_BITS)
        }
        (base, _) => (base, block.bits),
    }
}

fn prefix<T: Word>(base: T, bits: u8, site: u16) -> Prefix<T> {
    let base = base.first(bits);
    Prefix { base, bits, site }
}
