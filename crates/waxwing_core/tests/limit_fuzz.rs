//! Tests the rate limiter under random faults. An oracle checks that no more is admitted than each
//! limit allows. The oracle has one plain token bucket per limit, in simulated time without clock
//! drift.
//!
//! `WAXWING_FUZZ_CASES` sets the number of cases, `WAXWING_FUZZ_STEPS` the number of steps per
//! case, and `WAXWING_FUZZ_SEED` the seed.

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
    /// Runs the simulation for this many milliseconds.
    Run(u64),
    /// From now on, only the domains whose bits are set spend. The other domains lend their quota.
    SetSpendingDomains(u8),
    /// Sends requests to a VM that count against one limit.
    Spend {
        vm: usize,
        limit: usize,
        requests: u64,
        cost: u64,
    },
    /// Sends requests of cost 1 to a VM that count against both limits.
    SpendBoth {
        vm: usize,
        requests: u64,
    },
    /// Ends a VM's process without notice.
    Kill(usize),
    /// Starts a process of a VM that has none.
    Start(usize),
    /// Kills a VM and starts a VM with another id in the same domain.
    Replace(usize),
    /// Begins a planned stop of a VM.
    Stop(usize),
    Pause(usize),
    ResumeAll,
    /// Cuts the network between two domains, or inside one.
    CutDomains(usize, usize),
    /// Cuts a domain off from the store.
    CutStore(usize),
    StoreOutage,
    /// Ends all cuts and the store outage.
    EndCutsAndOutage,
    /// Sets the rate of a limit in requests per second, and half of that number as its burst.
    ChangeRate(usize, u64),
    /// Divides a limit over the domains whose bits are set.
    ChangeDomains(usize, u8),
}

/// Generates the setup and the steps. The reference state is the setup alone, because every step is
/// valid at any time.
struct RandomSteps;

impl ReferenceStateMachine for RandomSteps {
    type State = Setup;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Setup> {
        let mode = prop_oneof![3 => Just(LeaseMode::Standby), 1 => Just(LeaseMode::Store)];
        let orphan_timeout =
            prop_oneof![Just(Millis::from_secs(21_600)), Just(Millis::from_secs(60))];
        // A drift bound of 100 is ten times the default, so that a missing lease margin shows
        // within few steps.
        let max_drift_permille = prop_oneof![Just(10_u64), Just(100_u64)];
        let faults = (0..60_u64, 0..60_u64);
        (
            any::<u64>(),
            mode,
            1..=3_usize,
            1..=3_usize,
            faults,
            orphan_timeout,
            max_drift_permille,
        )
            .prop_map(
                |(
                    seed,
                    lease_mode,
                    domains,
                    vms,
                    (loss_permille, delayed_permille),
                    orphan_timeout,
                    drift_permille,
                )| Setup {
                    seed,
                    lease_mode,
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
                    loss_permille,
                    delayed_permille,
                    orphan_timeout,
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
                .prop_map(|(vm, limit, requests, cost)| Step::Spend { vm, limit, requests, cost }),
            5 => (vm.clone(), 1..50_u64)
                .prop_map(|(vm, requests)| Step::SpendBoth { vm, requests }),
            3 => (1..8_u8).prop_map(Step::SetSpendingDomains),
            1 => vm.clone().prop_map(Step::Kill),
            3 => vm.clone().prop_map(Step::Start),
            1 => vm.clone().prop_map(Step::Replace),
            1 => vm.clone().prop_map(Step::Stop),
            1 => vm.prop_map(Step::Pause),
            2 => Just(Step::ResumeAll),
            1 => (domain.clone(), domain.clone()).prop_map(|(a, b)| Step::CutDomains(a, b)),
            1 => domain.prop_map(Step::CutStore),
            1 => Just(Step::StoreOutage),
            3 => Just(Step::EndCutsAndOutage),
            1 => (0..2_usize, 50..500_u64).prop_map(|(limit, rate)| Step::ChangeRate(limit, rate)),
            1 => (0..2_usize, 1..8_u8)
                .prop_map(|(limit, domain_bits)| Step::ChangeDomains(limit, domain_bits)),
        ]
        .boxed()
    }

    fn apply(state: Setup, _: &Step) -> Setup {
        state
    }
}

struct RateLimiterTest;

/// Steps of all cases together.
static TOTAL_STEPS: AtomicU64 = AtomicU64::new(0);
/// Cost of the requests that were admitted in all cases together.
static TOTAL_ADMITTED: AtomicU64 = AtomicU64::new(0);

impl StateMachineTest for RateLimiterTest {
    type SystemUnderTest = World;
    type Reference = RandomSteps;

    fn init_test(setup: &Setup) -> World {
        let mut world = World::new(setup.clone());
        world.run_until(2_000);
        world
    }

    fn apply(mut world: World, _: &Setup, step: Step) -> World {
        // All VMs spend as much as they can. If any VM holds too many tokens, more is admitted than
        // the oracle allows.
        let admitted_before: u64 = world.admitted_tokens.iter().sum();
        apply_step(&mut world, step);
        spend_all(&mut world, 20);
        world.check_total_holdings();
        let admitted_after: u64 = world.admitted_tokens.iter().sum();
        TOTAL_ADMITTED.fetch_add(admitted_after - admitted_before, Ordering::Relaxed);
        TOTAL_STEPS.fetch_add(1, Ordering::Relaxed);
        world
    }

    fn check_invariants(world: &World, _: &Setup) {
        world.check_invariants();
    }
}

fn apply_step(world: &mut World, step: Step) {
    match step {
        Step::Run(duration_ms) => run(world, duration_ms),
        Step::SetSpendingDomains(domains) => world.busy_domains = domains,
        Step::Spend {
            vm,
            limit,
            requests,
            cost,
        } => {
            let vm = vm % world.vms.len();
            spend(world, vm, &[limit], requests, cost);
        }
        Step::SpendBoth { vm, requests } => {
            let vm = vm % world.vms.len();
            spend(world, vm, &[0, 1], requests, 1);
        }
        Step::Kill(vm) => world.kill(vm % world.vms.len()),
        Step::Start(vm) => {
            let vm = vm % world.vms.len();
            // At most nine processes run at once.
            if !world.vms[vm].is_running()
                && world.vms.iter().filter(|v| v.is_running()).count() < 9
            {
                world.start_process(vm);
            }
        }
        Step::Replace(vm) => {
            let vm = vm % world.vms.len();
            // A case has at most 15 VMs, including those that were replaced.
            if world.vms[vm].is_running() && world.vms.len() < 15 {
                world.kill(vm);
                world.add_vm(world.vms[vm].domain);
            }
        }
        Step::Stop(vm) => world.begin_stop(vm % world.vms.len()),
        Step::Pause(vm) => world.pause(vm % world.vms.len()),
        Step::ResumeAll => {
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
        Step::StoreOutage => world.store_down = true,
        Step::EndCutsAndOutage => {
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
        Step::ChangeDomains(limit, domain_bits) => change_domains(world, limit, domain_bits),
    }
}

/// Runs the simulation for `duration_ms`. Every 97 ms, each VM of the spending domains sends up to
/// 8 requests per limit.
fn run(world: &mut World, duration_ms: u64) {
    let end_ms = world.now + duration_ms;
    while world.now < end_ms {
        world.run_until((world.now + 97).min(end_ms));
        spend_all(world, 8);
        world.check_total_holdings();
    }
}

/// Sends up to `requests` requests per limit to each VM of the spending domains.
fn spend_all(world: &mut World, requests: u64) {
    for vm in 0..world.vms.len() {
        if world.busy_domains & (1 << world.vms[vm].domain) != 0 {
            spend(world, vm, &[0], requests, 1);
            spend(world, vm, &[1], requests, 1);
        }
    }
}

/// Sends up to `requests` requests to a VM, until one of them is refused.
fn spend(world: &mut World, vm: usize, limits: &[usize], requests: u64, cost: u64) {
    for _ in 0..requests {
        if world.admit(vm, limits, cost) != world::Outcome::Admitted {
            return;
        }
    }
}

/// The domains over which a limit is divided.
fn domains_of(world: &World, limit: usize) -> Vec<usize> {
    let is_listed = |d: &usize| world.specs[limit].domains.contains(&world::domain_id(*d));
    (0..world.setup.domains).filter(is_listed).collect()
}

/// Divides a limit over the domains whose bits are set. Changes nothing if no such domain exists.
fn change_domains(world: &mut World, limit: usize, domain_bits: u8) {
    let is_listed = |d: &usize| domain_bits & (1 << *d) != 0;
    let domains: Vec<usize> = (0..world.setup.domains).filter(is_listed).collect();
    let rate = world.specs[limit].rate.0 / 1_000_000;
    let burst = world.specs[limit].burst.0 / 1_000_000;
    if !domains.is_empty() {
        world.change_limit(limit, RateLimit { rate, burst }, &domains);
    }
}

/// The value of an environment variable, or `default` if the variable is unset or not a number.
fn number_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Guards against faults after which all VMs together admit more than rate and burst allow.
#[test]
fn never_more_than_rate_and_burst() {
    let steps = usize::try_from(number_from_env("WAXWING_FUZZ_STEPS", 150)).unwrap_or(150);
    let config = ProptestConfig {
        cases: u32::try_from(number_from_env("WAXWING_FUZZ_CASES", 20)).unwrap_or(20),
        rng_seed: RngSeed::Fixed(number_from_env("WAXWING_FUZZ_SEED", 7)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    };
    let strategy = RandomSteps::sequential_strategy(steps..=steps);
    proptest!(config.clone(), |((setup, steps, seen_counter) in strategy)| {
        RateLimiterTest::test_sequential(config.clone(), setup, steps, seen_counter);
    });
    println!("{TOTAL_STEPS:?} steps, {TOTAL_ADMITTED:?} admitted");
}

/// Guards against a rate limiter that passes the fuzz test because it admits next to nothing.
/// Without faults, VMs that spend as much as they can must get nearly the whole rate.
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
        // In 100 s, the rates allow 10,000 and 40,000 tokens. At least 90 % must be admitted.
        assert!(world.admitted_tokens[0] > 9_000 && world.admitted_tokens[1] > 36_000);
    }
}
