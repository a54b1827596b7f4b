//! Single rules of the rate limits, in a deployment without other faults.

mod world;

use waxwing_core::LeaseMode;
use waxwing_types::{Micros, Millis};
use world::{Outcome, RateLimit, Setup, World};

const RATE: u64 = 300;

fn deployment(domains: usize, vms: usize) -> World {
    let bound = RateLimit {
        rate: RATE,
        burst: RATE,
    };
    let mut world = World::new(Setup {
        seed: 3,
        lease_mode: LeaseMode::Standby,
        domains,
        vms,
        limits: vec![bound, RateLimit { rate: 3, burst: 3 }],
        drift_permille: 10,
        loss_permille: 0,
        delayed_permille: 0,
        orphan_timeout: Millis::from_secs(21_600),
        tick_ms: 100,
    });
    world.run_until(5_000);
    world
}

/// Sends requests at the limit's rate to the VMs of `domains` in turn for `span`, and returns how
/// many were admitted.
fn spend(world: &mut World, domains: &[usize], span: u64) -> u64 {
    let before = world.admitted_tokens[0];
    let end = world.now + span;
    while world.now < end {
        world.run_until((world.now + 50).min(end));
        let vms: Vec<usize> = domains.iter().flat_map(|d| world.serving_vms(*d)).collect();
        for vm in vms.iter().cycle().take(15) {
            world.admit(*vm, &[0], 1);
        }
    }
    world.check_invariants();
    world.admitted_tokens[0] - before
}

/// Guards against a request that is refused for one limit and yet takes tokens of another.
#[test]
fn refused_request_takes_nothing() {
    let mut world = deployment(1, 1);
    let key = world::limit_key(0);
    while world.admit(0, &[1], 1) == Outcome::Admitted {}
    let clock = world.vm_clock(0);
    let ledger = world.vms[0].limiter.as_mut().expect("the VM runs");
    let before = ledger.available_tokens(clock, &key);

    let costs = [
        (key.clone(), Micros::from_units(1)),
        (world::limit_key(1), Micros::from_units(1)),
    ];
    let refused = ledger.admit(clock, &costs);

    assert_eq!(refused, Err(world::limit_key(1)));
    assert_eq!(ledger.available_tokens(clock, &key), before);
}

/// Guards against limits that need the store while owner and standby are up.
#[test]
fn store_outage_stops_no_limit() {
    let mut world = deployment(2, 2);
    world.store_down = true;
    spend(&mut world, &[0, 1], 30_000);

    let admitted = spend(&mut world, &[0, 1], 30_000);

    assert!(admitted > RATE * 30 * 95 / 100, "admitted {admitted}");
}

/// Guards against idle quota that stays with those who borrowed it.
#[test]
fn idle_quota_moves_to_the_demand() {
    let mut world = deployment(3, 2);
    spend(&mut world, &[0], 20_000);
    world.run_until(world.now + 1_000);
    spend(&mut world, &[1], 2_000);

    let admitted = spend(&mut world, &[1], 2_000);

    assert!(admitted > RATE * 2 * 80 / 100, "admitted {admitted}");
}

/// Guards against a planned stop that leaves shards to the orphan rule.
#[test]
fn planned_stop_hands_all_shards_over() {
    let mut world = deployment(1, 3);
    world.begin_stop(0);

    world.run_until(world.now + 2_000);

    let owned = world.vms.iter().filter_map(|v| v.limiter.as_ref());
    let owned: usize = owned.map(|l| l.owned_shards().len()).sum();
    assert!(!world.vms[0].is_running());
    assert_eq!(owned, waxwing_core::SHARD_COUNT);
}

/// Guards against a share that grows before the domain that must lower its share has done so: a
/// domain that is paused keeps the old division, and the others must wait for it.
#[test]
fn division_changes_only_after_confirmation() {
    let mut world = deployment(2, 1);
    spend(&mut world, &[0, 1], 2_000);
    world.pause(1);
    let bound = RateLimit {
        rate: RATE,
        burst: RATE,
    };

    world.change_limit(0, bound, &[0]);
    world.run_until(world.now + 20_000);
    let clock = world.vm_clock(0);
    let ledger = world.vms[0].limiter.as_mut().expect("the VM runs");
    let waiting = ledger.spendable_quota(clock, &world::limit_key(0)).0;
    world.resume(1);
    world.run_until(world.now + 15_000);
    let clock = world.vm_clock(0);
    let ledger = world.vms[0].limiter.as_mut().expect("the VM runs");
    let settled = ledger.spendable_quota(clock, &world::limit_key(0)).0;

    assert!(waiting <= Micros::from_units(RATE / 2), "held {waiting}");
    assert!(
        settled > Micros::from_units(RATE * 9 / 10),
        "held {settled}"
    );
}
