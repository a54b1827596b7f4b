//! Compares lookups in the block table with a linear search of the list of blocks.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use proptest::prelude::*;
use waxwing_core::{BlockTable, Config, ParsedRecord, RecordPage, VersionedRecord};
use waxwing_types::{Millis, Revision, SiteId};

/// The first address, the prefix length and the number of the site of a block.
type TestBlock = (IpAddr, u8, u8);

/// Generates addresses in a few networks, so that many prefixes nest or are adjacent.
fn any_address() -> impl Strategy<Value = IpAddr> {
    let byte = prop_oneof![Just(0_u8), Just(255), 0..4_u8];
    let bytes = prop::collection::vec(byte, 16);
    (any::<bool>(), bytes).prop_map(|(v4, b)| {
        if v4 {
            return Ipv4Addr::new(b[0], b[1], b[2], b[3]).into();
        }
        let bytes: [u8; 16] = b.try_into().expect("16 bytes");
        Ipv6Addr::from(bytes).into()
    })
}

fn any_block() -> impl Strategy<Value = TestBlock> {
    (any_address(), 0..=128_u8, 0..5_u8).prop_map(|(address, prefix_len, site)| {
        let max_len = if address.is_ipv4() { 32 } else { 128 };
        let prefix_len = prefix_len % (max_len + 1);
        (first_address(address, prefix_len), prefix_len, site)
    })
}

/// Returns the first address of the prefix that contains `address`.
fn first_address(address: IpAddr, len: u8) -> IpAddr {
    let mask = |width: u32| u128::MAX.checked_shl(width - u32::from(len)).unwrap_or(0);
    match address {
        IpAddr::V4(v4) => {
            let masked = u128::from(v4.to_bits()) & mask(32);
            Ipv4Addr::from_bits(u32::try_from(masked & u128::from(u32::MAX)).expect("32 bits"))
                .into()
        }
        IpAddr::V6(v6) => Ipv6Addr::from_bits(v6.to_bits() & mask(128)).into(),
    }
}

/// Builds a `blocks` record.
fn block_record(name: &str, version: u64, blocks: &[TestBlock]) -> ParsedRecord {
    let lines = blocks
        .iter()
        .map(|(base, prefix_len, site)| format!(r#""{base}/{prefix_len} s{site}""#));
    let list = lines.collect::<Vec<_>>().join(",");
    let json =
        format!(r#"{{"schema":1,"kind":"blocks","name":"{name}","spec":{{"blocks":[{list}]}}}}"#);
    ParsedRecord::parse(VersionedRecord {
        path: format!("config/blocks/{name}").into(),
        version: Revision(version),
        value: json.into_bytes(),
    })
}

/// Returns the site of the longest prefix that contains the address. If several blocks have that
/// prefix, the last one in the list takes precedence.
fn linear_search(blocks: &[TestBlock], address: IpAddr) -> Option<SiteId> {
    let contains =
        |b: &&TestBlock| b.0.is_ipv4() == address.is_ipv4() && first_address(address, b.1) == b.0;
    let best = blocks.iter().filter(contains).max_by_key(|b| b.1)?;
    Some(SiteId::from(format!("s{}", best.2).as_str()))
}

/// Removes all but one of the blocks with the same prefix, and the blocks of IPv4-mapped addresses.
fn without_duplicates(mut blocks: Vec<TestBlock>) -> Vec<TestBlock> {
    blocks.sort_by_key(|b| (b.0, b.1));
    blocks.dedup_by_key(|b| (b.0, b.1));
    // The table treats an IPv4-mapped prefix as the IPv4 prefix. The linear search does not.
    blocks.retain(|b| b.0.to_canonical() == b.0);
    blocks
}

proptest! {
    /// Fails if a lookup returns a wrong site where prefixes nest, are adjacent or end at the last
    /// address, or if a record changes when it is sent to a peer.
    #[test]
    fn a_lookup_returns_the_site_of_the_longest_prefix(
        first in prop::collection::vec(any_block(), 0..12),
        second in prop::collection::vec(any_block(), 0..12),
        addresses in prop::collection::vec(any_address(), 20),
    ) {
        let (first, second) = (without_duplicates(first), without_duplicates(second));
        let mut config = Config::new();
        config.apply(Millis(0), block_record("a", 1, &second));
        let records = vec![block_record("b", 2, &second), block_record("a", 3, &first)];
        let page = RecordPage { after: Revision(0), revision: Revision(3), age: Millis(0), more: false, records };
        config.apply_store_page(Millis(0), Millis(0), page);
        let mut peer = Config::new();
        for record in config.delta(Millis(0), Revision(0), usize::MAX).records {
            peer.apply(Millis(0), ParsedRecord::parse(record));
        }

        let table = BlockTable::build(config.block_records());
        let peer_table = BlockTable::build(peer.block_records());

        table.check_invariants();
        let blocks = [first, second].concat();
        let first_addresses = blocks.iter().map(|b| b.0);
        for address in addresses.into_iter().chain(first_addresses).filter(|a| a.to_canonical() == *a) {
            prop_assert_eq!(table.site(address).cloned(), linear_search(&blocks, address));
            prop_assert_eq!(table.site(address), peer_table.site(address));
        }
    }
}
