//! Time in which a change reaches all VMs, in virtual time, with parts of the protocol left out.
//!
//! `cargo run --release -p waxwing_bench --example propagation -- [--domains 32] [--vms 34]
//! [--changes 20] [--seed 1]`

#[path = "../../waxwing_core/tests/cluster/mod.rs"]
mod cluster;

use anyhow::Context;
use cluster::{Cluster, STORE_DOMAIN};
use lexopt::prelude::*;
use smol_str::SmolStr;
use waxwing_core::PullSettings;
use waxwing_types::{Millis, Revision};

#[derive(Clone, Copy)]
struct Options {
    domains: usize,
    vms: usize,
    changes: usize,
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let options = options()?;
    let variants = [
        ("pulls only", false, 0),
        ("pull back", true, 0),
        ("pull back, announce to 1", true, 1),
        ("pull back, announce to 2", true, 2),
        ("pull back, announce to 3", true, 3),
    ];
    for (name, pull_back, announce) in variants {
        let settings = PullSettings {
            pull_back,
            announce_count: announce,
            ..PullSettings::default()
        };
        measure(name, settings, options, false);
        measure(name, settings, options, true);
    }
    Ok(())
}

fn options() -> anyhow::Result<Options> {
    let mut options = Options {
        domains: 32,
        vms: 34,
        changes: 20,
        seed: 1,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("domains") => options.domains = parser.value()?.parse()?,
            Long("vms") => options.vms = parser.value()?.parse()?,
            Long("changes") => options.changes = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            _ => return Err(arg.unexpected()).context("see the head of the file"),
        }
    }
    Ok(options)
}

/// Measures a variant; with `cut`, the last domain cannot reach the store.
fn measure(name: &str, settings: PullSettings, options: Options, cut: bool) {
    let mut cluster = Cluster::new(options.domains, options.vms, options.seed, settings);
    // A VM without any record is not ready and pulls more often.
    change_once(&mut cluster, options.changes);
    if cut {
        cluster
            .partitions
            .insert((options.domains - 1, STORE_DOMAIN));
    }
    cluster.run(Millis(20_000));
    let (pulls, reads, start) = (cluster.pulls, cluster.store_reads, cluster.now);
    cluster.run(Millis(10_000));
    let seconds = cluster.now.since(start).0 / 1000;
    let vms = cluster.nodes.len() as u64;
    let quiet = ratio(cluster.pulls - pulls, seconds * vms);
    let reads = (cluster.store_reads - reads) / seconds;
    let ages = ages(&cluster);
    let mut times = Vec::new();
    let before = cluster.pulls;
    for change in 0..options.changes {
        times.extend(change_once(&mut cluster, change));
    }
    let spent = ratio(cluster.pulls - before, options.changes as u64 * vms);
    times.sort_unstable();
    println!(
        "{name}{}: p50 {} ms, p99 {} ms, max {} ms; {quiet} pulls/s of a VM and {reads} store \
         reads/s without changes, {spent} pulls of a VM in the time of a change; age p50 {} ms, \
         p99 {} ms, max {} ms",
        if cut {
            ", one domain without the store"
        } else {
            ""
        },
        at(&times, 50),
        at(&times, 99),
        at(&times, 100),
        at(&ages, 50),
        at(&ages, 99),
        at(&ages, 100),
    );
}

/// Writes a record and returns the times until each VM has it.
fn change_once(cluster: &mut Cluster, change: usize) -> Vec<u64> {
    let path = SmolStr::from(format!("config/workspace/w{change}"));
    let value = format!(
        r#"{{"schema":1,"kind":"workspace","name":"w{change}","spec":{{"rate":5,"burst":5}}}}"#
    );
    let version = cluster
        .put(&path, value.into_bytes(), Revision(0))
        .expect("the store is up");
    let start = cluster.now;
    let mut times = vec![None; cluster.nodes.len()];
    while times.iter().any(Option::is_none) {
        cluster.run(Millis(10));
        let passed = cluster.now.since(start).0;
        for (time, node) in times.iter_mut().zip(&cluster.nodes) {
            if time.is_none() && node.config.revision() >= version {
                *time = Some(passed);
            }
        }
        assert!(passed < 120_000, "the change does not arrive");
    }
    times.into_iter().flatten().collect()
}

fn ages(cluster: &Cluster) -> Vec<u64> {
    let ages = cluster.nodes.iter();
    let mut ages: Vec<_> = ages
        .map(|n| n.config.age(cluster.now.since(n.started_at)).0)
        .collect();
    ages.sort_unstable();
    ages
}

fn at(sorted: &[u64], percent: usize) -> u64 {
    sorted[(sorted.len() - 1) * percent / 100]
}

/// A quotient with two decimals.
fn ratio(a: u64, b: u64) -> String {
    let hundredths = a * 100 / b.max(1);
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}
