//! The table of client blocks against a search of the list.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use proptest::prelude::*;
use waxwing_core::{BlockTable, Config, ParsedRecord, RecordPage, VersionedRecord};
use waxwing_types::{Millis, Revision, SiteId};

type Listed = (IpAddr, u8, u8);

/// Addresses in few networks, so that prefixes nest and meet.
fn address() -> impl Strategy<Value = IpAddr> {
    let edge = prop_oneof![Just(0_u8), Just(255), 0..4_u8];
    let bytes = prop::collection::vec(edge, 16);
    (any::<bool>(), bytes).prop_map(|(v4, b)| {
        if v4 {
            return Ipv4Addr::new(b[0], b[1], b[2], b[3]).into();
        }
        let bytes: [u8; 16] = b.try_into().expect("16 bytes");
        Ipv6Addr::from(bytes).into()
    })
}

fn block() -> impl Strategy<Value = Listed> {
    (address(), 0..=128_u8, 0..5_u8).prop_map(|(base, bits, site)| {
        let most = if base.is_ipv4() { 32 } else { 128 };
        let bits = bits % (most + 1);
        (first(base, bits), bits, site)
    })
}

/// The first address of the block.
fn first(address: IpAddr, bits: u8) -> IpAddr {
    let keep = |width: u32| u128::MAX.checked_shl(width - u32::from(bits)).unwrap_or(0);
    match address {
        IpAddr::V4(v4) => {
            let masked = u128::from(v4.to_bits()) & keep(32);
            Ipv4Addr::from_bits(u32::try_from(masked & u128::from(u32::MAX)).expect("32 bits"))
                .into()
        }
        IpAddr::V6(v6) => Ipv6Addr::from_bits(v6.to_bits() & keep(128)).into(),
    }
}

fn record(name: &str, version: u64, blocks: &[Listed]) -> ParsedRecord {
    let lines = blocks
        .iter()
        .map(|(base, bits, site)| format!(r#""{base}/{bits} s{site}""#));
    let list = lines.collect::<Vec<_>>().join(",");
    let json =
        format!(r#"{{"schema":1,"kind":"blocks","name":"{name}","spec":{{"blocks":[{list}]}}}}"#);
    ParsedRecord::parse(VersionedRecord {
        path: format!("config/blocks/{name}").into(),
        version: Revision(version),
        value: json.into_bytes(),
    })
}

/// The site of the longest prefix; of equal ones the last in the list.
fn search(blocks: &[Listed], address: IpAddr) -> Option<SiteId> {
    let holds = |b: &&Listed| b.0.is_ipv4() == address.is_ipv4() && first(address, b.1) == b.0;
    let best = blocks.iter().filter(holds).max_by_key(|b| b.1)?;
    Some(SiteId::from(format!("s{}", best.2).as_str()))
}

fn unique(mut blocks: Vec<Listed>) -> Vec<Listed> {
    blocks.sort_by_key(|b| (b.0, b.1));
    blocks.dedup_by_key(|b| (b.0, b.1));
    // An IPv4-mapped prefix is the IPv4 prefix, which the search does not know.
    blocks.retain(|b| b.0.to_canonical() == b.0);
    blocks
}

proptest! {
    /// Guards against a wrong site where prefixes nest, meet or end at the last address, and
    /// against a record that changes on its way to a peer.
    #[test]
    fn the_longest_prefix_wins(
        first in prop::collection::vec(block(), 0..12),
        second in prop::collection::vec(block(), 0..12),
        asked in prop::collection::vec(address(), 20),
    ) {
        let (first, second) = (unique(first), unique(second));
        let mut config = Config::new();
        config.apply(Millis(0), record("a", 1, &second));
        let records = vec![record("b", 2, &second), record("a", 3, &first)];
        let page = RecordPage { after: Revision(0), revision: Revision(3), age: Millis(0), more: false, records };
        config.apply_store_page(Millis(0), Millis(0), page);
        let mut peer = Config::new();
        for record in config.delta(Millis(0), Revision(0), usize::MAX).records {
            peer.apply(Millis(0), ParsedRecord::parse(record));
        }

        let table = BlockTable::build(config.block_records());
        let copy = BlockTable::build(peer.block_records());

        table.check_invariants();
        let all = [first, second].concat();
        let edges = all.iter().map(|b| b.0);
        for address in asked.into_iter().chain(edges).filter(|a| a.to_canonical() == *a) {
            prop_assert_eq!(table.site(address).cloned(), search(&all, address));
            prop_assert_eq!(table.site(address), copy.site(address));
        }
    }
}
