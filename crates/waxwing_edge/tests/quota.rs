//! Quotas over many VMs against the bound that the platform states.

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

/// `count` VMs that have known the workspace for long enough to hold their whole burst.
fn fleet(count: usize, spec: &WorkspaceSpec) -> Vec<WorkspaceQuotas> {
    let mut vms: Vec<WorkspaceQuotas> = (0..count).map(|_| WorkspaceQuotas::default()).collect();
    for vm in &mut vms {
        vm.set_vm_count(count);
        for sec in 0..=20 {
            vm.update_specs(Millis::from_secs(sec), std::iter::once(spec));
        }
    }
    vms
}

/// Guards against tokens that are made instead of moved: whatever VMs are asked, whatever messages are
/// lost, a window admits at most a tenth more than rate and burst, and 20 requests.
#[test]
fn a_window_admits_no_more_than_rate_and_burst() {
    let window = 5;
    let run = |rate: u64, burst: u64, count: usize, seed: u64| {
        let spec = spec(rate, burst);
        let mut vms = fleet(count, &spec);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut admitted = Vec::new();
        for step in 0..2000 {
            let now = Millis(20_000 + step * 5);
            let at = rng.usize(..vms.len());
            for _ in 0..rng.usize(..6) {
                if vms[at].admit(now, &spec) == Admission::Admitted {
                    admitted.push(now);
                }
            }
            let other = rng.usize(..vms.len());
            // A lost message loses the tokens.
            let arrives = rng.u8(..4) > 0;
            if let NoTokenAction::RequestTokens(part) = vms[at].on_no_token(now, &spec.id) {
                let amount = vms[other].grant(now, &spec.id, part.amount);
                if arrives {
                    vms[at].credit(now, &WorkspaceTokens { amount, ..part });
                }
            }
            if step % 40 == 0 {
                // Any VM may not hear its keeper.
                let lonely = QuotaCoordinator::Local { vm_shares: 1 };
                let keeper = if rng.bool() {
                    QuotaCoordinator::Remote(0)
                } else {
                    lonely
                };
                let mut news = vms[at].prepare_exchanges(now, |_| keeper.clone());
                let given = news.remove(&0).unwrap_or_default().granted;
                for part in given.iter().filter(|_| arrives) {
                    vms[other].credit(now, part);
                }
            }
        }
        let most = (rate * window + burst) * 11 / 10 + 20;
        for (i, start) in admitted.iter().enumerate() {
            let end = *start + Millis::from_secs(window);
            let within = admitted[i..].iter().take_while(|at| **at < end).count();
            assert!(
                within as u64 <= most,
                "{within} in a window, at most {most}"
            );
        }
    };
    proptest!(ProptestConfig::with_cases(24), |(
        rate in 1_u64..200, burst in 1_u64..200, count in 1_usize..20, seed: u64
    )| run(rate, burst, count, seed));
}

/// Guards against a start of all processes at once that hands out the burst a second time. A window that
/// was used up before leaves the tolerance of a tenth and 20 requests.
#[test]
fn a_new_process_starts_with_a_small_part_of_the_burst() {
    let spec = spec(100, 100);
    let mut vm = WorkspaceQuotas::default();
    vm.set_vm_count(1);
    vm.update_specs(Millis(1), std::iter::once(&spec));
    let admitted = (0..100).filter(|_| vm.admit(Millis(1), &spec) == Admission::Admitted);
    let most = (100 * 5 + 100) / 10 + 20;
    assert!(admitted.count() <= most);
}

/// Guards against a VM that was suspended and adds its part of that time, which others have added since
/// they did not hear it.
#[test]
fn a_vm_that_was_suspended_adds_no_tokens_for_that_time() {
    let spec = spec(10, 100);
    let mut vm = WorkspaceQuotas::default();
    vm.set_vm_count(1);
    vm.update_specs(Millis::ZERO, std::iter::once(&spec));
    while vm.admit(Millis::ZERO, &spec) == Admission::Admitted {}
    let wake = Millis::from_secs(8);
    let admitted = (0..100).filter(|_| vm.admit(wake, &spec) == Admission::Admitted);
    assert!(admitted.count() <= 15);
}

/// Guards against tokens that lie at VMs without requests while a request waits elsewhere.
#[test]
fn a_keeper_gathers_the_tokens_that_others_do_not_need() {
    let spec = spec(8, 8);
    let mut vms = fleet(8, &spec);
    let now = Millis::from_secs(20);
    let own = QuotaCoordinator::<u8>::Local { vm_shares: 8 };
    assert!(vms[0].prepare_exchanges(now, |_| own.clone()).is_empty());
    for i in 1..8 {
        let news = vms[i].prepare_exchanges(now, |_| QuotaCoordinator::Remote(0));
        let news = news.get(&0).expect("news").clone();
        vms[0].credit(now, &news.granted[0]);
    }
    let admission = vms[7].admit(now, &spec);
    assert!(matches!(admission, Admission::NoToken { .. }));
    let NoTokenAction::RequestTokens(part) = vms[7].on_no_token(now, &spec.id) else {
        panic!("no token is asked for");
    };
    let amount = vms[0].grant(now, &spec.id, part.amount);
    assert_eq!(amount, Micros::from_units(1));
    vms[7].credit(now, &WorkspaceTokens { amount, ..part });
    assert_eq!(vms[7].retry_admit(now, &spec), Admission::Admitted);
}

/// Guards against a request for tokens with each refused request, and against requests that wait for
/// tokens that do not come.
#[test]
fn tokens_are_asked_for_with_a_pause() {
    let spec = spec(4, 4);
    let mut vms = fleet(8, &spec);
    let id = &spec.id;
    let mut urgent = |ms: u64| vms[0].on_no_token(Millis(20_000 + ms), id);
    assert!(matches!(urgent(0), NoTokenAction::RequestTokens(_)));
    assert_eq!(urgent(1), NoTokenAction::Wait);
    assert_eq!(urgent(10), NoTokenAction::Refuse);
    assert!(matches!(urgent(100), NoTokenAction::RequestTokens(_)));
}
