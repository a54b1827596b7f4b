//! Tests of workspace quotas that many VMs share, against the platform's limit on admitted requests.

use proptest::prelude::*;
use waxwing_edge::{Admission, NoTokenAction, QuotaCoordinator, WorkspaceQuotas, WorkspaceTokens};
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Micros, Millis};

/// A workspace with a quota of `requests_per_s` and a burst of `burst` requests.
fn spec(requests_per_s: u64, burst: u64) -> WorkspaceSpec {
    WorkspaceSpec {
        id: "w".into(),
        keys: vec!["k".into()],
        rank: 0,
        // Requests per 1000 s.
        rate: requests_per_s * 1000,
        burst,
        homes: Vec::new(),
    }
}

/// The coordinator of a VM that refills only its own share.
const OWN_SHARE_ONLY: QuotaCoordinator<u8> = QuotaCoordinator::Local { share_count: 1 };

/// Quotas of one VM that is the only one of its fleet, with the initial tokens of a new process.
fn single_vm(now: Millis, spec: &WorkspaceSpec) -> WorkspaceQuotas {
    let mut vm = WorkspaceQuotas::default();
    vm.update_specs(now, std::iter::once(spec));
    vm.assign_coordinators(now, 1, |_| OWN_SHARE_ONLY);
    vm
}

/// Number of requests of many at one time that a VM admits.
fn admitted_at_once(vm: &mut WorkspaceQuotas, now: Millis, spec: &WorkspaceSpec) -> usize {
    let admissions = (0..10_000).map(|_| vm.admit(now, spec));
    admissions
        .filter(|admission| *admission == Admission::Admitted)
        .count()
}

/// Quotas of `count` VMs, refilled from 0 s to 20 s. Each VM holds its whole share of the burst.
fn vms_with_full_burst(count: usize, spec: &WorkspaceSpec) -> Vec<WorkspaceQuotas> {
    let mut vms: Vec<WorkspaceQuotas> = (0..count).map(|_| WorkspaceQuotas::default()).collect();
    for vm in &mut vms {
        for sec in 0..=20 {
            vm.update_specs(Millis::from_secs(sec), std::iter::once(spec));
            vm.assign_coordinators(Millis::from_secs(sec), count, |_| OWN_SHARE_ONLY);
        }
    }
    vms
}

/// Guards against transfers that create tokens. In any window of 5 s, the VMs together may admit 110 % of the
/// requests that rate and burst allow, and 20 more. This holds for every distribution of the requests over the
/// VMs, and for every set of lost messages.
#[test]
fn a_window_admits_no_more_than_rate_and_burst() {
    let window_secs = 5;
    let run = |requests_per_s: u64, burst: u64, count: usize, seed: u64| {
        let spec = spec(requests_per_s, burst);
        let mut vms = vms_with_full_burst(count, &spec);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut admitted = Vec::new();
        let mut refused: Vec<(u64, usize)> = Vec::new();
        // 10 s in steps of 5 ms, after the 20 s of refill.
        for step in 0..2000 {
            let now = Millis(20_000 + step * 5);
            let vm = rng.usize(..vms.len());
            // Up to five requests of callers arrive at the VM.
            for _ in 0..rng.usize(..6) {
                if vms[vm].admit(now, &spec) == Admission::Admitted {
                    // Some requests are refused up to 0.3 s later without having run.
                    if rng.u8(..4) == 0 {
                        refused.push((step + rng.u64(..60), vm));
                    } else {
                        admitted.push(now);
                    }
                }
            }
            refused.retain(|(at, vm)| {
                if *at <= step {
                    vms[*vm].refund(now, &spec.id);
                }
                *at > step
            });
            let other_vm = rng.usize(..vms.len());
            // One message in four is lost, and so are the tokens in it.
            let message_arrives = rng.u8(..4) > 0;
            if let NoTokenAction::RequestTokens(wanted) = vms[vm].on_no_token(now, &spec.id) {
                let amount = vms[other_vm].grant(now, &spec.id, wanted.amount);
                if message_arrives {
                    vms[vm].credit(now, &WorkspaceTokens { amount, ..wanted });
                }
            }
            // An exchange every 200 ms.
            if step % 40 == 0 {
                // Whether the VM gets the heartbeats of its coordinator is random here. A VM without these
                // heartbeats refills only its own share (a count of 1). The address 0 of the coordinator is a
                // placeholder: the tokens go to `other_vm`.
                let own_share_only = QuotaCoordinator::Local { share_count: 1 };
                let coordinator = if rng.bool() {
                    QuotaCoordinator::Remote(0)
                } else {
                    own_share_only
                };
                let mut exchanges = vms[vm].prepare_exchanges(now, |_| coordinator.clone());
                let surplus = exchanges.remove(&0).unwrap_or_default().granted;
                for tokens in surplus.iter().filter(|_| message_arrives) {
                    vms[other_vm].credit(now, tokens);
                }
            }
        }
        let limit = (requests_per_s * window_secs + burst) * 11 / 10 + 20;
        for (i, start) in admitted.iter().enumerate() {
            let end = *start + Millis::from_secs(window_secs);
            let in_window = admitted[i..].iter().take_while(|time| **time < end).count();
            assert!(
                in_window as u64 <= limit,
                "{in_window} requests admitted in {window_secs} s, limit {limit}"
            );
        }
    };
    proptest!(ProptestConfig::with_cases(24), |(
        requests_per_s in 1_u64..200, burst in 1_u64..200, count in 1_usize..20, seed: u64
    )| run(requests_per_s, burst, count, seed));
}

/// Guards against new processes that hold the whole burst. If all processes restart at the same time, the
/// burst would be admitted twice in one window. The requests before the restart may already have used up
/// rate and burst, so the new processes may admit only the tolerance: 10 % of rate and burst, plus 20
/// requests.
#[test]
fn a_new_process_starts_with_a_fraction_of_the_burst() {
    let spec = spec(100, 100);
    let mut vm = single_vm(Millis(1), &spec);
    let admitted = admitted_at_once(&mut vm, Millis(1), &spec);
    // 100 requests per second in a window of 5 s, and a burst of 100 requests.
    let tolerance = (100 * 5 + 100) / 10 + 20;
    assert!((1..=tolerance).contains(&admitted), "{admitted}");
}

/// Guards against a fleet that refuses requests after all its VMs were lost, although the tokens of new processes
/// would admit them: divided between the VMs of a large fleet, each share is below one token.
#[test]
fn the_coordinator_of_a_large_fleet_starts_with_whole_tokens() {
    let spec = spec(60, 60);
    let mut vms: Vec<WorkspaceQuotas> = (0..33).map(|_| WorkspaceQuotas::default()).collect();
    for (i, vm) in vms.iter_mut().enumerate() {
        vm.update_specs(Millis(1), std::iter::once(&spec));
        let coordinator = match i {
            0 => QuotaCoordinator::Local { share_count: 33 },
            _ => QuotaCoordinator::Remote(0_u8),
        };
        vm.assign_coordinators(Millis(1), 295, |_| coordinator.clone());
    }
    let granted = vms[0].grant(Millis(1), &spec.id, Micros::from_units(1));
    assert!(granted > Micros(500_000), "{granted:?}");
    let admitted: usize = (0..33)
        .map(|i| admitted_at_once(&mut vms[i], Millis(1), &spec))
        .sum();
    // A quarter of the burst, for a ninth of the fleet.
    assert!(admitted <= 2, "{admitted}");
}

/// Guards against a process that admits the whole rate of a workspace before it knows between how many VMs the rate is
/// divided.
#[test]
fn no_tokens_exist_before_the_number_of_vms_is_known() {
    let spec = spec(100, 100);
    let mut vm = WorkspaceQuotas::default();
    vm.update_specs(Millis(1), std::iter::once(&spec));
    assert!(
        vm.prepare_exchanges(Millis(1), |_| OWN_SHARE_ONLY)
            .is_empty()
    );
    assert_eq!(admitted_at_once(&mut vm, Millis(1000), &spec), 0);
    vm.assign_coordinators(Millis(1000), 295, |_| OWN_SHARE_ONLY);
    assert_eq!(admitted_at_once(&mut vm, Millis(1100), &spec), 0);
}

/// Guards against tokens of a larger share that a process keeps when it learns of the other VMs of the fleet.
#[test]
fn tokens_beyond_the_share_are_dropped_when_more_vms_are_known() {
    let spec = spec(100, 1000);
    let mut vm = single_vm(Millis(1), &spec);
    vm.assign_coordinators(Millis(1), 20, |_| OWN_SHARE_ONLY);
    let admitted = admitted_at_once(&mut vm, Millis(1), &spec);
    assert!((1..=50).contains(&admitted), "{admitted}");
}

/// Guards against a VM that adds tokens for the whole time of its suspension. Other VMs got no heartbeats
/// from this VM and have refilled its share during the suspension.
#[test]
fn a_suspended_vm_does_not_refill_for_the_whole_suspension() {
    let spec = spec(10, 100);
    let mut vm = single_vm(Millis::ZERO, &spec);
    while vm.admit(Millis::ZERO, &spec) == Admission::Admitted {}
    let resumed_at = Millis::from_secs(8);
    let admitted = admitted_at_once(&mut vm, resumed_at, &spec);
    // The rate yields 10 requests per second, and at most 1.5 s are refilled at once.
    assert!((1..=15).contains(&admitted), "{admitted}");
}

/// Guards against tokens that stay unused at VMs without requests while another VM has a request but no
/// token.
#[test]
fn a_coordinator_collects_and_grants_tokens_that_other_vms_do_not_need() {
    let spec = spec(8, 8);
    let mut vms = vms_with_full_burst(8, &spec);
    let now = Millis::from_secs(20);
    // VM 0 is the coordinator and refills the shares of all eight VMs.
    let local = QuotaCoordinator::<u8>::Local { share_count: 8 };
    assert!(vms[0].prepare_exchanges(now, |_| local.clone()).is_empty());
    for i in 1..8 {
        let exchanges = vms[i].prepare_exchanges(now, |_| QuotaCoordinator::Remote(0));
        let exchange = exchanges.get(&0).expect("an exchange").clone();
        vms[0].credit(now, &exchange.granted[0]);
    }
    let admission = vms[7].admit(now, &spec);
    assert!(matches!(admission, Admission::NoToken { .. }));
    let NoTokenAction::RequestTokens(wanted) = vms[7].on_no_token(now, &spec.id) else {
        panic!("the VM requests no token");
    };
    let amount = vms[0].grant(now, &spec.id, wanted.amount);
    // `Micros` holds millionths: this amount is one whole token.
    assert_eq!(amount, Micros::from_units(1));
    vms[7].credit(now, &WorkspaceTokens { amount, ..wanted });
    assert_eq!(vms[7].retry_admit(now, &spec), Admission::Admitted);
}

/// Guards against a VM that sends a token request each time a caller gets no token. For 3 ms after a token
/// request, callers wait. Also guards against callers that wait although no token is to be expected. If the
/// token request brought no tokens within 3 ms, callers are refused until 40 ms after the token request.
#[test]
fn callers_wait_or_are_refused_between_two_token_requests() {
    let spec = spec(4, 4);
    let mut vms = vms_with_full_burst(8, &spec);
    let id = &spec.id;
    let mut on_no_token_at = |ms: u64| vms[0].on_no_token(Millis(20_000 + ms), id);
    assert!(matches!(on_no_token_at(0), NoTokenAction::RequestTokens(_)));
    assert_eq!(on_no_token_at(1), NoTokenAction::Wait);
    assert_eq!(on_no_token_at(10), NoTokenAction::Refuse);
    assert!(matches!(
        on_no_token_at(100),
        NoTokenAction::RequestTokens(_)
    ));
}

/// Guards against an amount in a malformed message that ends the process by an overflow, or that a VM keeps.
#[test]
fn an_extreme_amount_of_tokens_is_bounded() {
    let spec = spec(10, 10);
    let mut vm = single_vm(Millis(1), &spec);
    for _ in 0..3 {
        vm.credit(
            Millis(1),
            &WorkspaceTokens {
                workspace: spec.id.clone(),
                amount: Micros(u64::MAX),
            },
        );
    }
    let admitted = admitted_at_once(&mut vm, Millis(1), &spec);
    // The burst, and four received tokens.
    assert!(admitted <= 14, "{admitted}");
}

/// Guards against a workspace that loses part of its rate to requests that were refused without having run. One VM serves a
/// workspace at its rate while half of the admitted requests are refused and come back.
#[test]
fn refunded_tokens_admit_other_requests() {
    let spec = spec(100, 10);
    let mut vm = single_vm(Millis::ZERO, &spec);
    let mut run = 0;
    for step in 0..5000 {
        let now = Millis(step * 2);
        if vm.admit(now, &spec) == Admission::Admitted {
            if step % 2 == 0 {
                vm.refund(now, &spec.id);
            } else {
                run += 1;
            }
        }
    }
    assert!(run >= 990, "{run} requests run in 10 s");
}

/// Quotas of four VMs in two failure domains, refilled for 20 s. VMs 0 and 1 are the coordinators.
fn two_domains_with_full_burst(spec: &WorkspaceSpec) -> Vec<WorkspaceQuotas> {
    let mut vms: Vec<WorkspaceQuotas> = (0..4).map(|_| WorkspaceQuotas::default()).collect();
    for sec in 0..=20 {
        for (i, vm) in vms.iter_mut().enumerate() {
            vm.update_specs(Millis::from_secs(sec), std::iter::once(spec));
            vm.assign_coordinators(Millis::from_secs(sec), 4, |_| coordinator_of(i));
        }
    }
    vms
}

/// The coordinator of a VM of [`two_domains_with_full_burst`].
fn coordinator_of(vm: usize) -> QuotaCoordinator<usize> {
    if vm < 2 {
        QuotaCoordinator::Local { share_count: 2 }
    } else {
        QuotaCoordinator::Remote(vm - 2)
    }
}

/// Guards against tokens stored under a limit that admit requests after it was lowered, at coordinators and at VMs that were
/// granted tokens, also if the workspace was missing in a deployment meanwhile.
#[test]
fn tokens_stored_under_a_limit_do_not_outlast_its_lowering() {
    for was_removed in [false, true] {
        let (old, new) = (spec(100, 100), spec(10, 10));
        let mut vms = two_domains_with_full_burst(&old);
        let now = Millis::from_secs(20);
        for vm in 2..4 {
            let amount = vms[vm - 2].grant(now, &old.id, Micros::from_units(4));
            let workspace = old.id.clone();
            vms[vm].credit(now, &WorkspaceTokens { workspace, amount });
        }

        let lowered_at = now + Millis(u64::from(was_removed) * 1000);
        let mut admitted = 0;
        for vm in &mut vms {
            if was_removed {
                vm.update_specs(now, std::iter::empty());
            }
            vm.update_specs(lowered_at, std::iter::once(&new));
            admitted += admitted_at_once(vm, lowered_at, &new);
        }

        assert!((1..=10).contains(&admitted), "{admitted}");
    }
}

/// Guards against a request that was accepted under an older deployment and brings its limit back when it asks for a token again.
#[test]
fn a_request_of_an_older_deployment_does_not_change_the_limit() {
    let (old, new) = (spec(100, 100), spec(10, 10));
    let mut vm = single_vm(Millis::ZERO, &old);
    vm.update_specs(Millis::ZERO, std::iter::once(&new));
    admitted_at_once(&mut vm, Millis::ZERO, &new);

    let mut admitted = 0;
    for ms in 1..=1000 {
        let admission = vm.retry_admit(Millis(ms), &old);
        admitted += u32::from(admission == Admission::Admitted);
    }

    assert!((9..=10).contains(&admitted), "{admitted}");
}

/// Guards against a coordinator that holds tokens of other VMs for requests that no longer arrive, beside its full share of the
/// burst: they would outlast a lower rate.
#[test]
fn a_coordinator_keeps_received_tokens_only_while_its_requests_need_them() {
    let spec = spec(100, 20);
    let mut vm = single_vm(Millis::ZERO, &spec);
    vm.assign_coordinators(Millis::ZERO, 10, |_| OWN_SHARE_ONLY);
    for ms in 0..1000 {
        vm.admit(Millis(ms), &spec);
    }
    let amount = Micros::from_units(80);
    let workspace = spec.id.clone();
    vm.credit(Millis(1000), &WorkspaceTokens { workspace, amount });

    // The requests have ended.
    for step in 4..=80 {
        vm.prepare_exchanges(Millis(step * 250), |_| OWN_SHARE_ONLY);
    }
    let admitted = admitted_at_once(&mut vm, Millis(20_000), &spec);

    // A tenth of the burst, and four received tokens.
    assert!((1..=6).contains(&admitted), "{admitted}");
}
