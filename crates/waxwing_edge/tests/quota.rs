//! Tests of workspace quotas that many VMs share, against the platform's limit on admitted requests.

use proptest::prelude::*;
use waxwing_edge::{Admission, NoTokenAction, QuotaCoordinator, WorkspaceQuotas, WorkspaceTokens};
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Micros, Millis};

fn spec(rate: u64, burst: u64) -> WorkspaceSpec {
    WorkspaceSpec {
        id: "w".into(),
        keys: vec!["k".into()],
        rank: 0,
        rate: rate * 1000,
        burst,
        homes: Vec::new(),
    }
}

/// Quotas of `count` VMs that have refilled up to their whole share of the burst.
fn vms_with_full_burst(count: usize, spec: &WorkspaceSpec) -> Vec<WorkspaceQuotas> {
    let mut vms: Vec<WorkspaceQuotas> = (0..count).map(|_| WorkspaceQuotas::default()).collect();
    for vm in &mut vms {
        vm.set_vm_count(count);
        for sec in 0..=20 {
            vm.update_specs(Millis::from_secs(sec), std::iter::once(spec));
        }
    }
    vms
}

/// Guards against transfers that create tokens. Whichever VMs get requests and whichever messages are lost,
/// any 5 s window admits at most 10 % more than rate and burst, and 20 requests.
#[test]
fn a_window_admits_no_more_than_rate_and_burst() {
    let window_secs = 5;
    let run = |rate: u64, burst: u64, count: usize, seed: u64| {
        let spec = spec(rate, burst);
        let mut vms = vms_with_full_burst(count, &spec);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut admitted = Vec::new();
        for step in 0..2000 {
            let now = Millis(20_000 + step * 5);
            let vm = rng.usize(..vms.len());
            for _ in 0..rng.usize(..6) {
                if vms[vm].admit(now, &spec) == Admission::Admitted {
                    admitted.push(now);
                }
            }
            let other_vm = rng.usize(..vms.len());
            // The tokens of a lost message are lost.
            let message_arrives = rng.u8(..4) > 0;
            if let NoTokenAction::RequestTokens(tokens) = vms[vm].on_no_token(now, &spec.id) {
                let amount = vms[other_vm].grant(now, &spec.id, tokens.amount);
                if message_arrives {
                    vms[vm].credit(now, &WorkspaceTokens { amount, ..tokens });
                }
            }
            if step % 40 == 0 {
                // Whether a VM gets the heartbeats of a coordinator is random.
                let no_coordinator = QuotaCoordinator::Local { vm_shares: 1 };
                let coordinator = if rng.bool() {
                    QuotaCoordinator::Remote(0)
                } else {
                    no_coordinator
                };
                let mut exchanges = vms[vm].prepare_exchanges(now, |_| coordinator.clone());
                let granted = exchanges.remove(&0).unwrap_or_default().granted;
                for tokens in granted.iter().filter(|_| message_arrives) {
                    vms[other_vm].credit(now, tokens);
                }
            }
        }
        let limit = (rate * window_secs + burst) * 11 / 10 + 20;
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
        rate in 1_u64..200, burst in 1_u64..200, count in 1_usize..20, seed: u64
    )| run(rate, burst, count, seed));
}

/// Guards against a restart of all processes at the same time that admits the burst a second time. If the
/// limit of a window was reached before the restart, only the tolerance of 10 % and 20 requests is left.
#[test]
fn a_new_process_starts_with_a_fraction_of_the_burst() {
    let spec = spec(100, 100);
    let mut vm = WorkspaceQuotas::default();
    vm.set_vm_count(1);
    vm.update_specs(Millis(1), std::iter::once(&spec));
    let admitted = (0..100).filter(|_| vm.admit(Millis(1), &spec) == Admission::Admitted);
    let tolerance = (100 * 5 + 100) / 10 + 20;
    assert!(admitted.count() <= tolerance);
}

/// Guards against a VM that, after it was suspended, adds tokens for the whole suspension. Other VMs got no
/// heartbeats from it and have refilled its share meanwhile.
#[test]
fn a_suspended_vm_does_not_refill_for_the_whole_suspension() {
    let spec = spec(10, 100);
    let mut vm = WorkspaceQuotas::default();
    vm.set_vm_count(1);
    vm.update_specs(Millis::ZERO, std::iter::once(&spec));
    while vm.admit(Millis::ZERO, &spec) == Admission::Admitted {}
    let resumed_at = Millis::from_secs(8);
    let admitted = (0..100).filter(|_| vm.admit(resumed_at, &spec) == Admission::Admitted);
    assert!(admitted.count() <= 15);
}

/// Guards against tokens that stay unused at VMs without requests while another VM has none for a request.
#[test]
fn a_coordinator_collects_and_grants_tokens_that_other_vms_do_not_need() {
    let spec = spec(8, 8);
    let mut vms = vms_with_full_burst(8, &spec);
    let now = Millis::from_secs(20);
    let local = QuotaCoordinator::<u8>::Local { vm_shares: 8 };
    assert!(vms[0].prepare_exchanges(now, |_| local.clone()).is_empty());
    for i in 1..8 {
        let exchanges = vms[i].prepare_exchanges(now, |_| QuotaCoordinator::Remote(0));
        let exchange = exchanges.get(&0).expect("an exchange").clone();
        vms[0].credit(now, &exchange.granted[0]);
    }
    let admission = vms[7].admit(now, &spec);
    assert!(matches!(admission, Admission::NoToken { .. }));
    let NoTokenAction::RequestTokens(tokens) = vms[7].on_no_token(now, &spec.id) else {
        panic!("the VM requests no token");
    };
    let amount = vms[0].grant(now, &spec.id, tokens.amount);
    assert_eq!(amount, Micros::from_units(1));
    vms[7].credit(now, &WorkspaceTokens { amount, ..tokens });
    assert_eq!(vms[7].retry_admit(now, &spec), Admission::Admitted);
}

/// Guards against a token request for every refused request, and against requests that wait although the
/// last token request brought no tokens.
#[test]
fn token_requests_are_rate_limited() {
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
