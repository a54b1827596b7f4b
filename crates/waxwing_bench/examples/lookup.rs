//! Look-ups a second of one core, time to build the table of client blocks, and memory.
//!
//! `cargo run --release -p waxwing_bench --example lookup -- [--blocks 1200000] [--seconds 2]`
//!
//! Each run measures one size, since memory that was freed stays in the resident size.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::{Duration, Instant};

use anyhow::Context;
use fastrand::Rng;
use lexopt::prelude::*;
use waxwing_core::{
    BlockTable, Config, Members, ParsedRecord, RecordPage, Steering, VersionedRecord, Vm,
};
use waxwing_types::{DomainId, Millis, Revision, VmId};

const REGIONS: usize = 13;
const DOMAINS: usize = 32;
const VMS: usize = 1100;
const SITES: usize = 310;
/// Blocks of a record: about 0.9 MB of JSON.
const RECORD_BLOCKS: usize = 30_000;
const NOW: Millis = Millis(1000);

struct Options {
    blocks: usize,
    seconds: u64,
}

fn main() -> anyhow::Result<()> {
    let options = options()?;
    let mut rng = Rng::with_seed(1);
    println!("{} blocks; at start {}", options.blocks, memory()?);
    let mut config = Config::new();
    let mut version = 0;
    adopt_regions(&mut config, &mut version);
    let parts = options.blocks.div_ceil(RECORD_BLOCKS);
    let started = Instant::now();
    for part in 0..parts {
        let count = RECORD_BLOCKS.min(options.blocks - part * RECORD_BLOCKS);
        adopt_blocks(&mut config, &mut version, part, count, &mut rng);
    }
    println!(
        "wrote, read and adopted {parts} records in {:?}; {}",
        started.elapsed(),
        memory()?
    );
    let started = Instant::now();
    let table = BlockTable::build(config.block_records());
    let built = started.elapsed();
    let kilobytes = table.allocated_bytes() / 1000;
    println!(
        "built {} blocks in {built:?}, {kilobytes} kB; {}",
        table.len(),
        memory()?
    );
    adopt_blocks(&mut config, &mut version, 0, RECORD_BLOCKS, &mut rng);
    let started = Instant::now();
    let next = BlockTable::build(config.block_records());
    println!(
        "built after a change in {:?} beside the old table; {}",
        started.elapsed(),
        memory()?
    );
    drop(table);
    measure(&options, &config, &next, &mut rng);
    println!("at the end {}", memory()?);
    Ok(())
}

fn options() -> anyhow::Result<Options> {
    let mut options = Options {
        blocks: 1_200_000,
        seconds: 2,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("blocks") => options.blocks = parser.value()?.parse()?,
            Long("seconds") => options.seconds = parser.value()?.parse()?,
            _ => return Err(arg.unexpected()).context("see the head of the file"),
        }
    }
    Ok(options)
}

/// Resident size now and at its peak, in the words of the kernel.
fn memory() -> anyhow::Result<String> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let fields = status
        .lines()
        .filter(|l| l.starts_with("VmRSS") || l.starts_with("VmHWM"));
    let words = fields.flat_map(str::split_whitespace);
    Ok(words.collect::<Vec<_>>().join(" "))
}

fn adopt(config: &mut Config, version: &mut u64, kind: &str, name: &str, spec: &str) {
    *version += 1;
    let json = format!(r#"{{"schema":1,"kind":"{kind}","name":"{name}","spec":{spec}}}"#);
    let record = VersionedRecord {
        path: format!("config/{kind}/{name}").into(),
        version: Revision(*version),
        value: json.into_bytes(),
    };
    let page = RecordPage {
        after: Revision(*version - 1),
        revision: Revision(*version),
        age: Millis::ZERO,
        more: false,
        records: vec![ParsedRecord::parse(record)],
    };
    config.apply_store_page(NOW, NOW, page);
    assert_eq!(
        config.rejected_records().count(),
        0,
        "a record of the benchmark is invalid"
    );
}

fn adopt_regions(config: &mut Config, version: &mut u64) {
    for region in 0..REGIONS {
        let domains = (0..DOMAINS)
            .filter(|d| d % REGIONS == region)
            .map(|domain| {
                let sites = (0..SITES).filter(|s| s % DOMAINS == domain);
                let sites: Vec<_> = sites.map(|s| format!("\"s{s}\"")).collect();
                format!(r#"{{"name":"d{domain}","sites":[{}]}}"#, sites.join(","))
            });
        let domains = domains.collect::<Vec<_>>().join(",");
        let spec = format!(r#"{{"domains":[{domains}],"spare_rate":1,"spare_burst":1}}"#);
        adopt(config, version, "region", &format!("r{region}"), &spec);
    }
}

/// Adopts a record of blocks, one in five of IPv6.
fn adopt_blocks(config: &mut Config, version: &mut u64, part: usize, count: usize, rng: &mut Rng) {
    let mut prefixes = BTreeSet::new();
    while prefixes.len() < count {
        let prefix: (IpAddr, u8) = if rng.u8(0..5) == 0 {
            let bits = rng.u8(32..=56);
            let base = (0x2000_u128 << 112 | rng.u128(..) >> 3) & (u128::MAX << (128 - bits));
            (Ipv6Addr::from_bits(base).into(), bits)
        } else {
            let bits = rng.u8(18..=26);
            let base = rng.u32(..) & (u32::MAX << (32 - bits));
            (Ipv4Addr::from_bits(base).into(), bits)
        };
        prefixes.insert(prefix);
    }
    let mut spec = String::from(r#"{"blocks":["#);
    for (i, (base, bits)) in prefixes.iter().enumerate() {
        let comma = if i > 0 { "," } else { "" };
        let site = rng.usize(..SITES);
        // Writing to a string cannot fail.
        let _ = write!(spec, "{comma}\"{base}/{bits} s{site}\"");
    }
    spec.push_str("]}");
    adopt(config, version, "blocks", &format!("part{part}"), &spec);
}

fn members() -> Members {
    let mut members = Members::new(VmId::from("vm0"), DomainId::from("d0"));
    let address = Ipv4Addr::LOCALHOST;
    let vm = |i: usize| Vm {
        id: VmId::from(format!("vm{i}").as_str()),
        domain: DomainId::from(format!("d{}", i % DOMAINS).as_str()),
        client: (address, 1).into(),
        peer: (address, 2).into(),
        peer_http: (address, 3).into(),
        leaving: false,
    };
    members.update_vm_list(Millis(0), (0..VMS).map(vm).collect());
    members
}

fn measure(options: &Options, config: &Config, table: &BlockTable, rng: &mut Rng) {
    let addresses: Vec<IpAddr> = (0..1 << 16)
        .map(|_| Ipv4Addr::from_bits(rng.u32(..)).into())
        .collect();
    let span = Duration::from_secs(options.seconds);
    let found = addresses
        .iter()
        .filter(|a| table.site(**a).is_some())
        .count();
    println!("{} of {} addresses have a site", found, addresses.len());
    let sites = rate(span, &addresses, |a| {
        black_box(table.site_index(a));
    });
    println!("{sites} look-ups of a site a second on one core");
    let members = members();
    let steering = Steering::new(DomainId::from("d0"));
    let answers = rate(span, &addresses, |a| {
        black_box(steering.lookup(NOW, config, table, &members, a));
    });
    println!("{answers} look-ups of entry VMs a second on one core");
}

fn rate(span: Duration, addresses: &[IpAddr], mut call: impl FnMut(IpAddr)) -> u128 {
    let started = Instant::now();
    let mut calls = 0_u128;
    // All addresses are used, so that the caches of the processor hold no answer.
    for batch in addresses.chunks(1024).cycle() {
        for address in batch {
            call(*address);
        }
        calls += batch.len() as u128;
        if started.elapsed() >= span {
            break;
        }
    }
    calls * 1_000_000 / started.elapsed().as_micros()
}
