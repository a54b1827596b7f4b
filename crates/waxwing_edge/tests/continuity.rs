//! Tests of what a VM believes of a process that may have ended since it was last heard of.

mod common;

use std::collections::HashSet;

use common::{criteria, pool_of, target};
use waxwing_edge::{
    ConnectionUse, HealthAnswer, LoadReport, PauseRequest, SelectedTarget, Selection, TargetAlert,
    TargetKey, TargetNotice, TargetOutcome, TargetPool, TargetProcess,
};
use waxwing_records::{Registration, TargetState};
use waxwing_types::{Incarnation, Millis, ServiceId, TargetId};

const NOW: Millis = Millis(100_000);
const ANSWERED: TargetOutcome = TargetOutcome::Answered {
    latency: Millis(100),
    success: true,
};
const LOAD: LoadReport = LoadReport {
    running: 1,
    waiting: 0,
    slots: 4,
};

/// The registration of a process of target `t1`.
fn process(incarnation: u64) -> Registration {
    Registration {
        incarnation: Incarnation(incarnation),
        ..target("t1", "a")
    }
}

/// A VM that knows the first process of `t1`.
fn vm(name: &str) -> TargetPool {
    let mut vm = pool_of(name);
    vm.upsert(NOW - Millis(60_000), process(1));
    vm
}

fn select(vm: &mut TargetPool, now: Millis) -> (TargetKey, SelectedTarget) {
    let service = ServiceId::from("s");
    let criteria = criteria(&service, 1, &|_| true);
    match vm.select(now, &criteria, &mut fastrand::Rng::with_seed(1)) {
        Selection::Selected(key, selected) => (key, selected),
        other => panic!("{other:?}"),
    }
}

/// What a new connection for a request may be used for. The request ends without a word of the target.
fn open(vm: &mut TargetPool, now: Millis) -> ConnectionUse {
    let (key, selected) = select(vm, now);
    let connection = vm.admit_connection(now, key, &selected);
    vm.on_request_end(now, key, TargetOutcome::Cancelled);
    connection
}

/// Sends a request that the known process answers, with its load.
fn hear(vm: &mut TargetPool, now: Millis) {
    let (key, _) = select(vm, now);
    vm.on_answer_heard(now, key);
    vm.on_load_report(now, key, LOAD);
    vm.on_request_end(now, key, ANSWERED);
}

fn short(incarnation: u64) -> u32 {
    TargetProcess::new(&TargetId::from("t1"), Incarnation(incarnation)).short()
}

/// Guards against a new connection that is taken for one to the known process though nothing shows that it still runs.
#[test]
fn a_process_that_was_not_heard_of_lately_must_be_asked() {
    let mut vm = vm("vm");
    assert_eq!(open(&mut vm, NOW), ConnectionUse::Unknown);
    hear(&mut vm, NOW);
    assert_eq!(open(&mut vm, NOW + Millis(900)), ConnectionUse::Known);
    assert_eq!(open(&mut vm, NOW + Millis(1100)), ConnectionUse::Unknown);
}

/// Guards against a health check for each request to another region, and against a target there that is believed although a VM
/// has told of its end.
#[test]
fn a_process_of_another_region_is_asked_after_a_sign_of_its_end() {
    let mut vm = pool_of("vm");
    vm.upsert(NOW, target("t1", "c"));
    assert_eq!(open(&mut vm, NOW), ConnectionUse::Known);
    let alert = TargetAlert {
        process: short(1),
        cold_left: None,
    };
    vm.apply_alerts(NOW, &[alert]);
    assert_eq!(open(&mut vm, NOW + Millis(2900)), ConnectionUse::Unknown);
    assert_eq!(open(&mut vm, NOW + Millis(3100)), ConnectionUse::Known);
}

/// Guards against a process that restarts between two requests and is taken for the one that answered the first.
#[test]
fn a_process_whose_connection_broke_must_be_asked() {
    for outcome in [
        TargetOutcome::ConnectionBroken,
        TargetOutcome::ConnectFailed,
    ] {
        let mut vm = vm("vm");
        hear(&mut vm, NOW);
        let (key, _) = select(&mut vm, NOW + Millis(10));
        vm.on_request_end(NOW + Millis(10), key, outcome);
        assert_eq!(open(&mut vm, NOW + Millis(500)), ConnectionUse::Unknown);
        hear(&mut vm, NOW + Millis(600));
        assert_eq!(open(&mut vm, NOW + Millis(700)), ConnectionUse::Known);
    }
}

/// Guards against an idle connection that the process closed when it ended.
#[test]
fn a_process_that_closed_an_idle_connection_must_be_asked() {
    let mut vm = vm("vm");
    hear(&mut vm, NOW);
    let (key, _) = select(&mut vm, NOW + Millis(10));
    vm.on_idle_closed(NOW + Millis(10), key);
    assert_eq!(open(&mut vm, NOW + Millis(20)), ConnectionUse::Unknown);
    assert!(
        !vm.has_alerts(),
        "targets close idle connections as they like"
    );
}

/// Guards against VMs without a connection to a process that has ended: they see no sign of it.
#[test]
fn other_vms_are_told_that_a_process_may_have_ended() {
    let (mut first, mut second) = (vm("vm1"), vm("vm2"));
    for vm in [&mut first, &mut second] {
        hear(vm, NOW);
    }
    let (key, _) = select(&mut first, NOW);
    first.on_request_end(NOW, key, TargetOutcome::ConnectionBroken);
    let alerts = first.take_alerts();
    second.apply_alerts(NOW, &alerts);
    assert_eq!(open(&mut second, NOW), ConnectionUse::Unknown);
    assert!(!second.has_alerts(), "an alert is not passed on");
    let (key, _) = select(&mut first, NOW + Millis(10));
    first.on_request_end(NOW + Millis(10), key, TargetOutcome::ConnectionBroken);
    assert!(!first.has_alerts(), "one alert for each end");
}

/// Guards against the fleet that floods a cold process whose entry is not read yet: one VM finds out, and all go by it.
#[test]
fn other_vms_are_told_that_a_process_is_cold() {
    let (mut first, mut second) = (vm("vm1"), vm("vm2"));
    for vm in [&mut first, &mut second] {
        let names = ["vm1", "vm2", "vm3", "vm4"].into_iter();
        vm.set_region_vms(NOW - Millis(10_000), names);
        hear(vm, NOW);
    }
    let (key, selected) = select(&mut first, NOW);
    first.on_health_answer(NOW, key, &selected, HealthAnswer::Cold(Millis(3000)));
    let alerts = first.take_alerts();
    second.apply_alerts(NOW, &alerts);
    let service = ServiceId::from("s");
    let criteria = criteria(&service, 1, &|_| true);
    let mut rng = fastrand::Rng::with_seed(1);
    let sent = (0..5).filter(|_| {
        let selection = second.select(NOW, &criteria, &mut rng);
        matches!(selection, Selection::Selected(..))
    });
    assert!(sent.count() <= 1);
}

/// Guards against the answer of a cold process that shows other VMs that the warm process of before still runs.
#[test]
fn the_load_of_a_cold_process_shows_nothing_to_other_vms() {
    let (mut first, mut second) = (vm("vm1"), vm("vm2"));
    let (key, selected) = select(&mut first, NOW);
    first.on_health_answer(NOW, key, &selected, HealthAnswer::Cold(Millis(3000)));
    first.on_load_report(NOW, key, LOAD);
    first.on_request_end(NOW, key, ANSWERED);
    let observations = first.take_observations(NOW, 10);
    second.apply_observations(NOW, &observations);
    assert_eq!(open(&mut second, NOW), ConnectionUse::Unknown);
}

/// Guards against health checks without need: what other VMs hear of a process shows that it runs, if it is the same process.
#[test]
fn the_load_of_the_known_process_shows_that_it_runs() {
    for (incarnation, expected) in [(1, ConnectionUse::Known), (2, ConnectionUse::Unknown)] {
        let (mut first, mut second) = (vm("vm1"), vm("vm2"));
        first.upsert(NOW, process(incarnation));
        hear(&mut first, NOW);
        let observations = first.take_observations(NOW + Millis(500), 10);
        second.apply_observations(NOW + Millis(500), &observations);
        assert_eq!(open(&mut second, NOW + Millis(600)), expected);
    }
}

/// Guards against a heartbeat that was delayed and speaks of the time before the process ended.
#[test]
fn an_answer_shortly_after_a_sign_of_the_end_shows_nothing() {
    let mut vm = vm("vm");
    let alert = TargetAlert {
        process: short(1),
        cold_left: None,
    };
    vm.apply_alerts(NOW, &[alert]);
    hear(&mut vm, NOW + Millis(200));
    assert_eq!(open(&mut vm, NOW + Millis(210)), ConnectionUse::Unknown);
    hear(&mut vm, NOW + Millis(260));
    assert_eq!(open(&mut vm, NOW + Millis(270)), ConnectionUse::Known);
}

/// Guards against a request that is sent to a process that took the place of the selected one while a connection was opened.
#[test]
fn a_request_for_a_process_that_was_replaced_is_not_sent() {
    let mut vm = vm("vm");
    let (key, selected) = select(&mut vm, NOW);
    vm.upsert(NOW, process(2));
    let connection = vm.admit_connection(NOW, key, &selected);
    assert_eq!(connection, ConnectionUse::Withdrawn);
}

/// Guards against tokens that are used together: the connections of a target that cannot be reached all open at the same time.
#[test]
fn a_cold_request_whose_connection_opened_late_needs_another_token() {
    let mut vm = vm("vm");
    let (key, selected) = select(&mut vm, NOW);
    vm.on_health_answer(NOW, key, &selected, HealthAnswer::Cold(Millis(3000)));
    let at = NOW + Millis(500);
    let (key, selected) = select(&mut vm, at);
    let late = at + Millis(101);
    let connection = vm.admit_connection(late, key, &selected);
    assert_eq!(connection, ConnectionUse::Withdrawn);
    let in_time = vm.admit_connection(at, key, &selected);
    assert_eq!(in_time, ConnectionUse::Cold);
}

/// Guards against a process that does not say whether it is cold: a new connection to it gets no request, and it does not keep
/// the connections that lead to the known process from being used.
#[test]
fn a_process_that_does_not_say_whether_it_is_cold_gets_no_new_connection() {
    let mut vm = vm("vm");
    let (key, selected) = select(&mut vm, NOW);
    let connection = vm.on_health_answer(NOW, key, &selected, HealthAnswer::Unclear);
    assert_eq!(connection, ConnectionUse::Withdrawn);
    assert_eq!(open(&mut vm, NOW + Millis(10)), ConnectionUse::Unknown);
}

/// Guards against the alert that is left out because the VM had found an idle connection closed just before.
#[test]
fn a_closed_idle_connection_does_not_keep_the_alert_of_a_refused_one_back() {
    let mut vm = vm("vm");
    hear(&mut vm, NOW);
    let (key, _) = select(&mut vm, NOW + Millis(10));
    vm.on_idle_closed(NOW + Millis(10), key);
    vm.on_request_end(NOW + Millis(12), key, TargetOutcome::ConnectFailed);
    assert!(vm.has_alerts());
}

/// Guards against a request that is sent to a target that was evacuated, drained or asked for a pause during its health check.
#[test]
fn a_target_that_left_during_its_health_check_gets_no_request() {
    let drain = |vm: &mut TargetPool, _: &SelectedTarget| {
        let draining = Registration {
            state: TargetState::Draining,
            ..process(1)
        };
        vm.upsert(NOW, draining);
    };
    let evacuate = |vm: &mut TargetPool, _: &SelectedTarget| {
        vm.set_evacuated_domains(NOW, HashSet::from(["a".into()]));
    };
    let pause = |vm: &mut TargetPool, selected: &SelectedTarget| {
        let notice = TargetNotice {
            leaving: false,
            pause: Some(PauseRequest::For(Millis(500))),
        };
        vm.on_notice(NOW, selected, notice);
    };
    for change in [drain, evacuate, pause] as [fn(&mut TargetPool, &SelectedTarget); 3] {
        let mut vm = vm("vm");
        let (key, selected) = select(&mut vm, NOW);
        change(&mut vm, &selected);
        let connection = vm.on_health_answer(NOW, key, &selected, HealthAnswer::Warm);
        assert_eq!(connection, ConnectionUse::Withdrawn);
    }
}
