//! Guards the time in which a change reaches every VM.

mod world;

use smol_str::SmolStr;
use waxwing_core::PullSettings;
use waxwing_types::{Millis, Revision};
use world::World;

/// The design page's bound for a change to be in force everywhere.
const BOUND: Millis = Millis(13_000);

/// Times from the write to the adoption by each VM.
fn spread(world: &mut World, name: &str) -> Vec<u64> {
    let path = SmolStr::from(format!("config/workspace/{name}"));
    let value = format!(
        r#"{{"schema":1,"kind":"workspace","name":"{name}","spec":{{"rate":5,"burst":5}}}}"#
    );
    let version = world.put(&path, value.into_bytes(), Revision(0));
    let version = version.expect("the store is up");
    let start = world.now;
    let mut times = vec![None; world.nodes.len()];
    while times.iter().any(Option::is_none) && world.now.since(start) < Millis(60_000) {
        world.run(Millis(20));
        for (time, node) in times.iter_mut().zip(&world.nodes) {
            if time.is_none() && node.config.revision() >= version {
                *time = Some(world.now.since(start).0);
            }
        }
    }
    times.into_iter().map(|t| t.unwrap_or(60_000)).collect()
}

/// Fails if news travels by periodic pulls alone or not at all.
#[test]
fn a_change_reaches_every_vm_within_the_bound() {
    let mut world = World::new(4, 34, 7, PullSettings::default());
    world.run(Millis(10_000));

    let times = spread(&mut world, "w");

    let last = times.into_iter().max().expect("there are VMs");
    assert!(Millis(last) <= BOUND, "the last VM took {last} ms");
}

/// Fails if the store's watchers are not replaced when both are lost at once.
#[test]
fn a_change_passes_a_domain_whose_watchers_are_lost() {
    let mut world = World::new(3, 8, 11, PullSettings::default());
    world.run(Millis(20_000));
    let now = world.now;
    let watchers: Vec<_> = (0..8)
        .filter(|i| world.nodes[*i].members.is_watcher(now))
        .collect();
    for i in watchers {
        world.replace(i, false);
    }

    let times = spread(&mut world, "w");

    let last = times.into_iter().max().expect("there are VMs");
    assert!(Millis(last) <= BOUND, "the last VM took {last} ms");
}
