//! Tests of the rate at which the VMs of a fleet together send requests to a cold target.

mod common;

use assert_matches::assert_matches;
use common::{criteria, pool_of, target};
use waxwing_edge::{
    ColdStartLimit, ColdStartTerms, HealthAnswer, SelectedTarget, Selection, TargetKey,
    TargetOutcome, TargetPool,
};
use waxwing_records::Registration;
use waxwing_types::{Incarnation, Millis, ServiceId};

const NOW: Millis = Millis(100_000);
/// Time for which VMs know their list before a target becomes cold.
const SETTLED: Millis = Millis(10_000);
/// Greatest time between the selection of a target and the arrival of the request. A longer one withdraws the request.
const MAX_DELAY: Millis = Millis(100);
const STEP: Millis = Millis(10);
const COLD_TIME: Millis = Millis::from_secs(3);

/// A fleet of VMs of one region, with the rate and the terms that its targets have.
#[derive(Clone, Copy, Debug)]
struct Case {
    vms: usize,
    /// Requests per 1000 s.
    rate: u64,
    terms: ColdStartTerms,
}

const fn case(vms: usize, rate: u64, slack: u64) -> Case {
    let terms = ColdStartTerms {
        overshoot_permille: 1500,
        slack,
    };
    Case { vms, rate, terms }
}

/// Fleets of 18 to 1,100 VMs, with the terms of the known deployments and harder ones.
const CASES: [Case; 10] = [
    case(18, 18_000, 5),
    case(18, 6_900, 5),
    case(121, 5_900, 8),
    case(146, 5_000, 8),
    case(295, 3_100, 10),
    case(1100, 3_100, 10),
    case(1100, 1_000, 5),
    case(1100, 500, 2),
    case(1100, 40_000, 20),
    case(1100, 500, 1),
];

impl Case {
    /// Requests that the target may get in one second.
    fn allowed(self) -> u64 {
        (self.rate * self.terms.overshoot_permille / 1000 + self.terms.slack * 1000) / 1000
    }

    /// The VMs of `members`, each of which knows these VMs as those of its region.
    fn start(self, members: &[usize]) -> Vec<TargetPool> {
        let names: Vec<String> = members.iter().map(|vm| format!("vm{vm}")).collect();
        let start = |name: &String| {
            let mut pool = pool_of(name).with_cold_start_terms(self.terms);
            let limit = ColdStartLimit {
                requests_per_1000_s: self.rate,
                cold_time: COLD_TIME,
            };
            pool.set_cold_start_limit(&"s".into(), limit);
            pool.set_region_vms(NOW - SETTLED, names.iter().map(String::as_str));
            pool
        };
        names.iter().map(start).collect()
    }
}

fn cold_target() -> Registration {
    Registration {
        cold_left: COLD_TIME,
        ..target("t1", "a")
    }
}

/// Sends a request if the VM may. Returns whether it was sent.
fn send(vm: &mut TargetPool, now: Millis) -> bool {
    let service = ServiceId::from("s");
    let selection = vm.select(
        now,
        &criteria(&service, 1, &|_| true),
        &mut fastrand::Rng::with_seed(1),
    );
    if let Selection::Selected(key, _) = selection {
        vm.on_request_end(now, key, TargetOutcome::Cancelled);
        return true;
    }
    false
}

/// Sends what each VM may send, and returns how many requests were sent at each time.
fn send_all(vms: &mut [TargetPool], start: Millis, end: Millis) -> Vec<(Millis, u64)> {
    let mut sent = Vec::new();
    let mut now = start;
    while now < end {
        for vm in &mut *vms {
            if now.0.is_multiple_of(250) {
                vm.tick(now);
            }
            while send(vm, now) {
                sent.push((now, 1));
            }
        }
        now += STEP;
    }
    sent
}

/// Most requests that arrive in one second, if each may be delayed by up to [`MAX_DELAY`].
fn most_arrivals(sent: &[(Millis, u64)]) -> u64 {
    let window = Millis(1000) + MAX_DELAY;
    let counts = sent.iter().map(|(first, _)| {
        let in_window = sent
            .iter()
            .filter(|(at, _)| at >= first && *at < *first + window);
        in_window.map(|(_, count)| count).sum()
    });
    counts.max().unwrap_or_default()
}

/// Guards against a fleet that sends a cold target more than its limit in the worst case: each VM holds all tokens that it can,
/// requests that were sent before arrive late, and half of the VMs go on by another list of VMs, of which none is in the first.
#[test]
fn a_cold_target_gets_no_more_than_its_limit() {
    for case in CASES {
        let (listed, cut_off): (Vec<usize>, Vec<usize>) =
            (0..case.vms).partition(|vm| vm.is_multiple_of(2));
        let mut vms = case.start(&listed);
        vms.extend(case.start(&cut_off));
        for vm in &mut vms {
            vm.upsert(NOW, cold_target());
            vm.tick(NOW);
        }

        let sent = send_all(&mut vms, NOW, NOW + COLD_TIME);

        let most = most_arrivals(&sent);
        assert!(most <= case.allowed(), "{case:?}: {most} requests");
    }
}

/// Guards against a cold target that gets far less than its rate, or nothing at first.
#[test]
fn a_cold_target_gets_a_good_part_of_its_rate_from_the_start() {
    for case in CASES.into_iter().filter(|case| case.terms.slack >= 5) {
        let all: Vec<usize> = (0..case.vms).collect();
        let mut vms = case.start(&all);
        for vm in &mut vms {
            vm.upsert(NOW, cold_target());
            vm.tick(NOW);
        }

        let sent = send_all(&mut vms, NOW, NOW + COLD_TIME);

        let at_once = sent.iter().filter(|(at, _)| *at == NOW).count() as u64;
        assert_eq!(at_once, case.terms.senders(), "{case:?}");
        let wanted = case.rate * COLD_TIME.0 / 1_000_000 * 6 / 10;
        let count = sent.len() as u64;
        assert!(count >= wanted, "{case:?}: {count} requests of {wanted}");
    }
}

/// Guards against VMs that join and send beside those whose places they take. The others may not have read their entries yet.
#[test]
fn vms_that_join_do_not_send_beside_the_ones_of_before() {
    let case = case(60, 6_900, 5);
    let before: Vec<String> = (0..30).map(|vm| format!("vm{vm}")).collect();
    let after: Vec<String> = (0..60).map(|vm| format!("vm{vm}")).collect();
    let all: Vec<usize> = (0..60).collect();
    let mut vms = case.start(&all);
    for vm in &mut vms {
        vm.set_region_vms(NOW - SETTLED, before.iter().map(String::as_str));
    }
    let mut joining = vms.split_off(30);
    for vm in &mut joining {
        vm.set_region_vms(NOW, after.iter().map(String::as_str));
    }
    for vm in vms.iter_mut().chain(&mut joining) {
        vm.upsert(NOW, cold_target());
        vm.tick(NOW);
    }

    let sent = send_all(&mut joining, NOW, NOW + Millis(2900));

    assert!(sent.is_empty(), "{sent:?}");
    // A VM that has read the entries makes place at once.
    for vm in &mut vms {
        vm.set_region_vms(NOW, after.iter().map(String::as_str));
    }
    vms.extend(joining);
    let sent = send_all(&mut vms, NOW + Millis(2900), NOW + Millis(2990));
    assert!(sent.len() as u64 <= case.terms.senders(), "{sent:?}");
}

/// Guards against a cold target that gets nothing for a while after its senders have left, and against senders that go on beside
/// those that took their places.
#[test]
fn the_place_of_a_vm_that_leaves_is_taken_at_once() {
    let case = case(30, 6_900, 5);
    let all: Vec<usize> = (0..30).collect();
    let mut vms = case.start(&all);
    for vm in &mut vms {
        vm.upsert(NOW, cold_target());
        vm.tick(NOW);
    }
    let senders: Vec<usize> = (0..30).filter(|vm| send(&mut vms[*vm], NOW)).collect();
    assert_eq!(senders.len() as u64, case.terms.senders());

    let left = NOW + Millis(10);
    for vm in &senders {
        vms[*vm].begin_leaving(left);
    }
    let names = all.iter().filter(|vm| !senders.contains(vm));
    let names: Vec<String> = names.map(|vm| format!("vm{vm}")).collect();
    for vm in &mut vms {
        vm.set_region_vms(left, names.iter().map(String::as_str));
    }

    let sent = send_all(&mut vms, left, left + Millis(10));
    assert_eq!(sent.len() as u64, case.terms.senders());
    let by_former = senders
        .iter()
        .filter(|vm| send(&mut vms[**vm], NOW + Millis(1000)));
    assert_eq!(by_former.count(), 0);
}

/// Selects the only target.
fn select(vm: &mut TargetPool) -> (TargetKey, SelectedTarget) {
    let service = ServiceId::from("s");
    let criteria = criteria(&service, 1, &|_| true);
    match vm.select(NOW, &criteria, &mut fastrand::Rng::with_seed(1)) {
        Selection::Selected(key, selected) => (key, selected),
        other => panic!("{other:?}"),
    }
}

/// Guards against an entry that is read late: it states the time that was left when it was written, and the target would stay
/// cold for too long. The tokens would begin anew, too.
#[test]
fn the_cold_time_that_a_process_states_outlasts_its_entry() {
    let mut vm = pool_of("vm");
    vm.upsert(NOW, target("t1", "a"));
    let (key, selected) = select(&mut vm);
    vm.on_health_answer(NOW, key, &selected, HealthAnswer::Cold(COLD_TIME));
    assert!(!send(&mut vm, NOW), "the token was used");
    let read_at = NOW + Millis(2000);
    let later = Registration {
        incarnation: Incarnation(2),
        ..cold_target()
    };
    assert!(send(&mut vm, read_at));
    vm.upsert(read_at, later);
    vm.tick(read_at);
    assert!(!send(&mut vm, read_at));

    let sent = (0..20).filter(|_| send(&mut vm, NOW + COLD_TIME));

    assert!(sent.count() > 2);
}

/// Guards against a target that is cold again and counts as warm, because its entry had an earlier end.
#[test]
fn a_target_that_is_cold_again_gets_requests_at_its_rate() {
    let mut vm = pool_of("vm");
    vm.upsert(NOW, cold_target());
    vm.tick(NOW);
    let again = NOW + COLD_TIME + Millis(5000);
    vm.upsert(again, cold_target());
    vm.tick(again);
    let sent = send_all(std::slice::from_mut(&mut vm), again, again + Millis(1000));
    assert!(sent.len() <= 20, "{} requests", sent.len());
    assert_matches!(sent.first(), Some((at, 1)) if *at == again);
}
