//! Fuzz test of the request path: several VMs with faulty model targets and a faulty model store.
//!
//! Guards against a second run of a request that must run at most once, a false `ran` in a refusal,
//! and requests sent to a leaving target or for a withdrawn key. Also guards against requests that
//! get no response or two responses. `WAXWING_FUZZ_CASES` and `WAXWING_FUZZ_SEED` set the number of
//! cases and the seed.

#[path = "flow_fuzz/actions.rs"]
mod actions;
#[path = "flow_fuzz/oracle.rs"]
mod oracle;
#[path = "flow_fuzz/records.rs"]
mod records;
#[path = "flow_fuzz/simulation.rs"]
mod simulation;
#[path = "flow_fuzz/store.rs"]
mod store;
#[path = "flow_fuzz/target.rs"]
mod target;
#[path = "flow_fuzz/vm.rs"]
mod vm;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use records::{Request, RequestKind, TARGETS, VMS, WORKSPACES};
use simulation::Simulation;
use store::StoreMode;
use target::{ALL_TARGET_MODES, TargetMode};

/// Seed if `WAXWING_FUZZ_SEED` is not set.
const DEFAULT_SEED: u64 = 20_260_704;
/// Number of cases if `WAXWING_FUZZ_CASES` is not set. They take about half a minute in the dev
/// profile.
const DEFAULT_CASES: u32 = 2000;

fn config() -> Config {
    let env_var = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let cases = env_var("WAXWING_FUZZ_CASES").and_then(|n| u32::try_from(n).ok());
    Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(env_var("WAXWING_FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    }
}

#[derive(Clone, Debug)]
enum Transition {
    /// One caller sends the same request to several VMs.
    SendRequest(Request, Vec<usize>),
    /// Advances the simulated time by this number of ms.
    AdvanceTime(u64),
    SetTargetMode(usize, TargetMode),
    SetStoreMode(StoreMode),
    /// The record of the target changes. `true`: the target is leaving.
    SetTargetLeaving(usize, bool),
    /// The record of the workspace's API key changes. `true`: the key is withdrawn.
    SetKeyWithdrawn(usize, bool),
    RestartVm(usize),
    /// The caller of a request disconnects. The number counts requests back from the newest, 0.
    DisconnectCaller(usize),
    /// The VM learns the quarantined fingerprints of the next VM.
    ShareQuarantine(usize),
}

/// Generates the transitions. The seed of the simulation is its only state. No reference model is
/// needed, because the invariants are checked on the simulation.
struct TransitionGenerator;

impl ReferenceStateMachine for TransitionGenerator {
    type State = u64;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Transition> {
        let kind = prop_oneof![
            4 => Just(RequestKind::Confirm),
            2 => Just(RequestKind::Approve),
            3 => Just(RequestKind::Check),
            1 => Just(RequestKind::Public),
        ];
        let request = (0..WORKSPACES, kind, 0u64..6, prop::bool::weighted(0.1));
        let request = request.prop_map(|(workspace, kind, number, poison)| Request {
            workspace,
            kind,
            number,
            poison,
        });
        let store_mode = prop::sample::select(vec![
            StoreMode::Healthy,
            StoreMode::Healthy,
            StoreMode::Slow,
            StoreMode::Lossy,
            StoreMode::Down,
        ]);
        // The number before each arrow is the relative frequency of the transition.
        prop_oneof![
            10 => (request, prop::collection::vec(0..VMS, 1..5)).prop_map(|(request, vms)| Transition::SendRequest(request, vms)),
            8 => (0u64..12).prop_map(Transition::AdvanceTime),
            2 => (0u64..600).prop_map(Transition::AdvanceTime),
            3 => (0..TARGETS, prop::sample::select(ALL_TARGET_MODES.to_vec())).prop_map(|(target, mode)| Transition::SetTargetMode(target, mode)),
            2 => store_mode.prop_map(Transition::SetStoreMode),
            1 => (0..TARGETS, any::<bool>()).prop_map(|(target, leaving)| Transition::SetTargetLeaving(target, leaving)),
            1 => (0..WORKSPACES, any::<bool>()).prop_map(|(key, withdrawn)| Transition::SetKeyWithdrawn(key, withdrawn)),
            2 => (0..VMS).prop_map(Transition::RestartVm),
            1 => (0usize..20).prop_map(Transition::DisconnectCaller),
            1 => (0..VMS).prop_map(Transition::ShareQuarantine),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Transition) -> u64 {
        state
    }
}

/// Applies the transitions to a simulation and checks the invariants.
struct FlowTest;

impl StateMachineTest for FlowTest {
    type SystemUnderTest = Simulation;
    type Reference = TransitionGenerator;

    fn init_test(seed: &u64) -> Simulation {
        Simulation::new(*seed)
    }

    fn apply(mut simulation: Simulation, _: &u64, transition: Transition) -> Simulation {
        match transition {
            Transition::SendRequest(request, vms) => {
                for vm in vms {
                    simulation.send(vm, request);
                }
            }
            Transition::AdvanceTime(duration_ms) => simulation.advance_time(duration_ms),
            Transition::SetTargetMode(target, mode) => simulation.targets[target].mode = mode,
            Transition::SetStoreMode(mode) => simulation.store.mode = mode,
            Transition::SetTargetLeaving(target, leaving) => {
                simulation.target_leaving[target] = leaving;
                let record = records::service_record(simulation.target_leaving);
                simulation.publish(&record);
            }
            Transition::SetKeyWithdrawn(key, withdrawn) => {
                simulation.key_withdrawn[key] = withdrawn;
                simulation.publish(&records::key_record(key, withdrawn));
            }
            Transition::RestartVm(vm) => simulation.restart_vm(vm),
            Transition::DisconnectCaller(age) => {
                if let Some(request_index) = simulation.requests.len().checked_sub(age + 1) {
                    simulation.disconnect_caller(request_index);
                }
            }
            Transition::ShareQuarantine(vm) => {
                let now = waxwing_types::Millis(simulation.now_ms);
                let shared = simulation.vms[(vm + 1) % VMS]
                    .quarantine
                    .fingerprints_to_share(now, 100);
                simulation.vms[vm].quarantine.merge_peer(now, &shared);
            }
        }
        simulation
    }

    fn check_invariants(simulation: &Simulation, _: &u64) {
        simulation.check_invariants();
    }

    fn teardown(mut simulation: Simulation) {
        simulation.end_faults_and_check();
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn requests_run_at_most_once_and_responses_are_truthful(sequential 1..120 => FlowTest);
}
