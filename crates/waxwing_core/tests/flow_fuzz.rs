//! Runs the request path of several VMs against model targets and a model store under faults.
//!
//! Guards against a second run of a request that must run once, a false `ran`, new work for a
//! leaving target, a run for a withdrawn key, and requests without an answer or with two.
//! `WAXWING_FUZZ_CASES` and `WAXWING_FUZZ_SEED` choose a longer run or another seed.

#[path = "flow_fuzz/drive.rs"]
mod drive;
#[path = "flow_fuzz/oracle.rs"]
mod oracle;
#[path = "flow_fuzz/records.rs"]
mod records;
#[path = "flow_fuzz/store.rs"]
mod store;
#[path = "flow_fuzz/target.rs"]
mod target;
#[path = "flow_fuzz/vm.rs"]
mod vm;
#[path = "flow_fuzz/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use records::{Kind, Request, TARGETS, VMS, WORKSPACES};
use store::StoreMode;
use target::{MODES, Mode};
use world::World;

/// Seed of the cases that always run.
const SEED: u64 = 20_260_704;
/// Cases that take about half a minute in the dev profile.
const CASES: u32 = 2000;

fn config() -> Config {
    let env = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let cases = env("WAXWING_FUZZ_CASES").and_then(|n| u32::try_from(n).ok());
    Config {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(env("WAXWING_FUZZ_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    }
}

#[derive(Clone, Debug)]
enum Transition {
    /// One caller sends the same request to several VMs.
    Send(Request, Vec<usize>),
    Advance(u64),
    Target(usize, Mode),
    Store(StoreMode),
    Leave(usize, bool),
    Key(usize, bool),
    Kill(usize),
    CallerGone(usize),
    /// The VM learns what its neighbour has in quarantine.
    Pull(usize),
}

/// Chooses transitions; the model itself is the system under test and its environment.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = u64;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Transition> {
        let kind = prop_oneof![
            4 => Just(Kind::Confirm),
            2 => Just(Kind::Approve),
            3 => Just(Kind::Check),
            1 => Just(Kind::Public),
        ];
        let request = (0..WORKSPACES, kind, 0u64..6, prop::bool::weighted(0.1));
        let request = request.prop_map(|(workspace, kind, number, poison)| Request {
            workspace,
            kind,
            number,
            poison,
        });
        let store = prop::sample::select(vec![
            StoreMode::Good,
            StoreMode::Good,
            StoreMode::Slow,
            StoreMode::Lossy,
            StoreMode::Down,
        ]);
        prop_oneof![
            10 => (request, prop::collection::vec(0..VMS, 1..5)).prop_map(|(r, v)| Transition::Send(r, v)),
            8 => (0u64..12).prop_map(Transition::Advance),
            2 => (0u64..600).prop_map(Transition::Advance),
            3 => (0..TARGETS, prop::sample::select(MODES.to_vec())).prop_map(|(t, m)| Transition::Target(t, m)),
            2 => store.prop_map(Transition::Store),
            1 => (0..TARGETS, any::<bool>()).prop_map(|(t, l)| Transition::Leave(t, l)),
            1 => (0..WORKSPACES, any::<bool>()).prop_map(|(k, w)| Transition::Key(k, w)),
            2 => (0..VMS).prop_map(Transition::Kill),
            1 => (0usize..20).prop_map(Transition::CallerGone),
            1 => (0..VMS).prop_map(Transition::Pull),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Transition) -> u64 {
        state
    }
}

struct FlowTest;

impl StateMachineTest for FlowTest {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, transition: Transition) -> World {
        match transition {
            Transition::Send(request, vms) => {
                for vm in vms {
                    world.send(vm, request);
                }
            }
            Transition::Advance(span) => world.advance(span),
            Transition::Target(target, mode) => world.targets[target].mode = mode,
            Transition::Store(mode) => world.store.mode = mode,
            Transition::Leave(target, leaving) => {
                world.leaving[target] = leaving;
                let record = records::service(world.leaving);
                world.publish(&record);
            }
            Transition::Key(key, withdrawn) => {
                world.withdrawn[key] = withdrawn;
                world.publish(&records::key(key, withdrawn));
            }
            Transition::Kill(vm) => world.kill(vm),
            Transition::CallerGone(back) => {
                if let Some(root) = world.roots.len().checked_sub(back + 1) {
                    world.caller_gone(root);
                }
            }
            Transition::Pull(vm) => {
                let now = waxwing_types::Millis(world.now);
                let shared = world.vms[(vm + 1) % VMS]
                    .quarantine
                    .fingerprints_to_share(now, 100);
                world.vms[vm].quarantine.merge_peer(now, &shared);
            }
        }
        world
    }

    fn check_invariants(world: &World, _: &u64) {
        world.check();
    }

    fn teardown(mut world: World) {
        world.drain();
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn requests_run_once_and_answers_are_true(sequential 1..120 => FlowTest);
}
