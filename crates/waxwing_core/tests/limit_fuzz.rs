//! Random faults against the rate limits, checked by a plain token bucket in true time.
//!
//! `WAXWING_FUZZ_CASES`, `WAXWING_FUZZ_STEPS` and `WAXWING_FUZZ_SEED` lengthen or move the run.

mod world;

use std::sync::atomic::{AtomicU64, Ordering};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use waxwing_core::LeaseMode;
use waxwing_types::Millis;
use world::{RateLimit, Setup, World};

#[derive(Clone, Copy, Debug)]
enum Step {
    Run(u64),
    /// Only the domains whose bits are set spend from now on, so that the others lend.
    Busy(u8),
    Spend {
        vm: usize,
        limit: usize,
        times: u64,
        cost: u64,
    },
    SpendBoth {
        vm: usize,
        times: u64,
    },
    Kill(usize),
    Start(usize),
    Replace(usize),
    Stop(usize),
    Pause(usize),
    Resume,
    CutDomains(usize, usize),
    CutStore(usize),
    StoreDown,
    Heal,
    ChangeRate(usize, u64),
    ChangeDomains(usize, u8),
}

/// The reference state only says how the run starts; all steps are valid at any time.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = Setup;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setup> {
        let mode = prop_oneof![3 => Just(LeaseMode::Standby), 1 => Just(LeaseMode::Store)];
        let orphan = prop_oneof![Just(Millis::from_secs(21_600)), Just(Millis::from_secs(60))];
        // With a tenfold drift bound a missing margin shows within few steps.
        let drift = prop_oneof![Just(10_u64), Just(100_u64)];
        let faults = (0..60_u64, 0..60_u64);
        (
            any::<u64>(),
            mode,
            1..=3_usize,
            1..=3_usize,
            faults,
            orphan,
            drift,
        )
            .prop_map(
                |(seed, mode, domains, vms, (loss, slow), orphan_term, drift_permille)| Setup {
                    seed,
                    lease_mode: mode,
                    domains,
                    vms,
                    limits: vec![
                        RateLimit {
                            rate: 100,
                            burst: 60,
                        },
                        RateLimit {
                            rate: 400,
                            burst: 300,
                        },
                    ],
                    drift_permille,
                    loss_permille: loss,
                    delayed_permille: slow,
                    orphan_timeout: orphan_term,
                    tick_ms: 100,
                },
            )
            .boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Step> {
        let vm = 0..12_usize;
        let domain = 0..3_usize;
        prop_oneof![
            30 => prop_oneof![9 => 1..1_000_u64, 1 => 1_000..20_000_u64].prop_map(Step::Run),
            40 => (vm.clone(), 0..2_usize, 1..200_u64, 1..3_u64)
                .prop_map(|(vm, limit, times, cost)| Step::Spend { vm, limit, times, cost }),
            5 => (vm.clone(), 1..50_u64).prop_map(|(vm, times)| Step::SpendBoth { vm, times }),
            3 => (1..8_u8).prop_map(Step::Busy),
            1 => vm.clone().prop_map(Step::Kill),
            3 => vm.clone().prop_map(Step::Start),
            1 => vm.clone().prop_map(Step::Replace),
            1 => vm.clone().prop_map(Step::Stop),
            1 => vm.prop_map(Step::Pause),
            2 => Just(Step::Resume),
            1 => (domain.clone(), domain.clone()).prop_map(|(a, b)| Step::CutDomains(a, b)),
            1 => domain.prop_map(Step::CutStore),
            1 => Just(Step::StoreDown),
            3 => Just(Step::Heal),
            1 => (0..2_usize, 50..500_u64).prop_map(|(limit, rate)| Step::ChangeRate(limit, rate)),
            1 => (0..2_usize, 1..8_u8).prop_map(|(limit, set)| Step::ChangeDomains(limit, set)),
        ]
        .boxed()
    }

    fn apply(state: Setup, _: &Step) -> Setup {
        state
    }
}

struct Limits;

static STEPS: AtomicU64 = AtomicU64::new(0);
static ADMITTED: AtomicU64 = AtomicU64::new(0);

impl StateMachineTest for Limits {
    type SystemUnderTest = World;
    type Reference = Faults;

    fn init_test(setup: &Setup) -> World {
        let mut world = World::new(setup.clone());
        world.run_until(2_000);
        world
    }

    fn apply(mut world: World, _: &Setup, step: Step) -> World {
        // The VMs spend what they can, so that too many tokens anywhere show at the oracle.
        let before: u64 = world.admitted_tokens.iter().sum();
        apply_step(&mut world, step);
        spend_all(&mut world, 20);
        world.check_total_holdings();
        let after: u64 = world.admitted_tokens.iter().sum();
        ADMITTED.fetch_add(after - before, Ordering::Relaxed);
        STEPS.fetch_add(1, Ordering::Relaxed);
        world
    }

    fn check_invariants(world: &World, _: &Setup) {
        world.check_invariants();
    }
}

fn apply_step(world: &mut World, step: Step) {
    match step {
        Step::Run(span) => run(world, span),
        Step::Busy(domains) => world.busy_domains = domains,
        Step::Spend {
            vm,
            limit,
            times,
            cost,
        } => {
            let vm = vm % world.vms.len();
            spend(world, vm, &[limit], times, cost);
        }
        Step::SpendBoth { vm, times } => {
            let vm = vm % world.vms.len();
            spend(world, vm, &[0, 1], times, 1);
        }
        Step::Kill(vm) => world.kill(vm % world.vms.len()),
        Step::Start(vm) => {
            let vm = vm % world.vms.len();
            if !world.vms[vm].is_running()
                && world.vms.iter().filter(|v| v.is_running()).count() < 9
            {
                world.start_process(vm);
            }
        }
        Step::Replace(vm) => {
            let vm = vm % world.vms.len();
            if world.vms[vm].is_running() && world.vms.len() < 15 {
                world.kill(vm);
                world.add_vm(world.vms[vm].domain);
            }
        }
        Step::Stop(vm) => world.begin_stop(vm % world.vms.len()),
        Step::Pause(vm) => world.pause(vm % world.vms.len()),
        Step::Resume => {
            for vm in 0..world.vms.len() {
                if world.vms[vm].paused {
                    world.resume(vm);
                }
            }
        }
        Step::CutDomains(a, b) => {
            world.cut_links.insert((a.min(b), a.max(b)));
        }
        Step::CutStore(domain) => {
            world.domains_cut_from_store.insert(domain);
        }
        Step::StoreDown => world.store_down = true,
        Step::Heal => {
            world.cut_links.clear();
            world.domains_cut_from_store.clear();
            world.store_down = false;
        }
        Step::ChangeRate(limit, rate) => {
            let domains = domains_of(world, limit);
            world.change_limit(
                limit,
                RateLimit {
                    rate,
                    burst: rate / 2,
                },
                &domains,
            );
        }
        Step::ChangeDomains(limit, set) => change_domains(world, limit, set),
    }
}

/// Lets time pass while every VM goes on spending.
fn run(world: &mut World, span: u64) {
    let end = world.now + span;
    while world.now < end {
        world.run_until((world.now + 97).min(end));
        spend_all(world, 8);
        world.check_total_holdings();
    }
}

fn spend_all(world: &mut World, times: u64) {
    for vm in 0..world.vms.len() {
        if world.busy_domains & (1 << world.vms[vm].domain) != 0 {
            spend(world, vm, &[0], times, 1);
            spend(world, vm, &[1], times, 1);
        }
    }
}

fn spend(world: &mut World, vm: usize, limits: &[usize], times: u64, cost: u64) {
    for _ in 0..times {
        if world.admit(vm, limits, cost) != world::Outcome::Admitted {
            return;
        }
    }
}

fn domains_of(world: &World, limit: usize) -> Vec<usize> {
    let listed = |d: &usize| world.specs[limit].domains.contains(&world::domain_id(*d));
    (0..world.setup.domains).filter(listed).collect()
}

/// Divides a limit over the domains whose bits are set.
fn change_domains(world: &mut World, limit: usize, set: u8) {
    let listed = |d: &usize| set & (1 << *d) != 0;
    let domains: Vec<usize> = (0..world.setup.domains).filter(listed).collect();
    let rate = world.specs[limit].rate.0 / 1_000_000;
    let burst = world.specs[limit].burst.0 / 1_000_000;
    if !domains.is_empty() {
        world.change_limit(limit, RateLimit { rate, burst }, &domains);
    }
}

fn from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Guards against any sequence of faults after which more is admitted than rate and burst allow,
/// over all VMs.
#[test]
fn never_more_than_rate_and_burst() {
    let steps = usize::try_from(from_env("WAXWING_FUZZ_STEPS", 150)).unwrap_or(150);
    let config = ProptestConfig {
        cases: u32::try_from(from_env("WAXWING_FUZZ_CASES", 20)).unwrap_or(20),
        rng_seed: RngSeed::Fixed(from_env("WAXWING_FUZZ_SEED", 7)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    };
    let strategy = Faults::sequential_strategy(steps..=steps);
    proptest!(config.clone(), |((setup, steps, seen) in strategy)| {
        Limits::test_sequential(config.clone(), setup, steps, seen);
    });
    println!("{STEPS:?} steps, {ADMITTED:?} admitted");
}

/// Guards against limits that pass the fuzz test because they admit next to nothing: without
/// faults, greedy VMs get nearly the whole rate.
#[test]
fn greedy_demand_gets_the_rate() {
    for mode in [LeaseMode::Standby, LeaseMode::Store] {
        let mut world = World::new(Setup {
            seed: 1,
            lease_mode: mode,
            domains: 3,
            vms: 2,
            limits: vec![
                RateLimit {
                    rate: 100,
                    burst: 60,
                },
                RateLimit {
                    rate: 400,
                    burst: 300,
                },
            ],
            drift_permille: 10,
            loss_permille: 0,
            delayed_permille: 0,
            orphan_timeout: Millis::from_secs(21_600),
            tick_ms: 100,
        });

        run(&mut world, 100_000);

        world.check_invariants();
        println!("{mode:?}: {:?} admitted", world.admitted_tokens);
        assert!(world.admitted_tokens[0] > 9_000 && world.admitted_tokens[1] > 36_000);
    }
}
