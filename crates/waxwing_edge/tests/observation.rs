//! Tests of what VMs tell each other about targets, and of what their callers gain from it.

#![allow(clippy::cast_precision_loss, reason = "the counts of a test are small")]

mod common;
#[path = "common/model.rs"]
mod model;

use common::criteria;
use waxwing_edge::{
    LoadReport, Selection, TargetKey, TargetObservation, TargetOutcome, TargetPool, TargetProcess,
};
use waxwing_types::{Incarnation, Millis, ServiceId, TargetId};

const NOW: Millis = Millis(10_000);
/// More observations than a test makes.
const ALL: usize = 100;

fn vms(vm_count: usize, target_count: usize) -> Vec<TargetPool> {
    model::vms(NOW, vm_count, target_count)
}

fn select(vm: &mut TargetPool, now: Millis, affinity_hash: u64) -> (TargetKey, String) {
    let service = ServiceId::from("s");
    let criteria = criteria(&service, affinity_hash, &|_| true);
    match vm.select(now, &criteria, &mut fastrand::Rng::with_seed(1)) {
        Selection::Selected(key, target) => (key, target.id.to_string()),
        other => panic!("{other:?}"),
    }
}

/// The process of a target as observations name it.
fn process(id: &str) -> u32 {
    TargetProcess::new(&TargetId::from(id), Incarnation(1)).short()
}

const ANSWERED: TargetOutcome = TargetOutcome::Answered {
    latency: Millis(100),
    success: true,
};

/// Sends requests of one object to its preferred target, with the outcome, and returns the id of that target.
fn send(vm: &mut TargetPool, outcomes: &[TargetOutcome]) -> String {
    let (mut key, id) = select(vm, NOW, 7);
    for (i, outcome) in outcomes.iter().enumerate() {
        if i > 0 {
            key = select(vm, NOW, 7).0;
        }
        vm.on_request_end(NOW, key, *outcome);
    }
    id
}

/// Guards against a failing target that each VM of a failure domain finds out for itself.
#[test]
fn a_target_that_fails_at_another_vm_is_avoided() {
    let mut vms = vms(2, 4);
    let failing = send(&mut vms[0], &[TargetOutcome::Shed, TargetOutcome::Shed]);
    assert_eq!(select(&mut vms[1], NOW, 7).1, failing);
    let observations = vms[0].take_observations(NOW, ALL);
    vms[1].apply_observations(NOW, &observations);
    assert_ne!(select(&mut vms[1], NOW, 7).1, failing);
    // Without further failures, the target is tried again.
    let later = NOW + Millis(3000);
    assert_eq!(select(&mut vms[1], later, 7).1, failing);
}

/// Guards against a target that answers a third of the requests with errors and still gets requests, because each error counts
/// as a request that was answered and as another one that failed.
#[test]
fn an_error_counts_as_one_request() {
    let mut vms = vms(2, 4);
    let error = TargetOutcome::Answered {
        latency: Millis(100),
        success: false,
    };
    // The requests are under way when the errors come, so that the VM itself does not choose another target meanwhile.
    let (key, failing) = select(&mut vms[0], NOW, 7);
    for outcome in [ANSWERED; 9].into_iter().chain([error; 5]) {
        vms[0].on_request_end(NOW, key, outcome);
    }

    let observations = vms[0].take_observations(NOW, ALL);
    vms[1].apply_observations(NOW, &observations);

    assert_ne!(select(&mut vms[1], NOW, 7).1, failing);
}

/// Guards against a target that is avoided because a few of its many responses are lost.
#[test]
fn a_target_that_rarely_fails_is_not_avoided() {
    let mut vms = vms(2, 4);
    let mut outcomes = vec![ANSWERED; 8];
    outcomes.push(TargetOutcome::ConnectionBroken);
    outcomes.push(TargetOutcome::ConnectionBroken);
    outcomes.extend([ANSWERED; 8]);
    let preferred = send(&mut vms[0], &outcomes);
    let observations = vms[0].take_observations(NOW, ALL);
    vms[1].apply_observations(NOW, &observations);
    assert_eq!(select(&mut vms[1], NOW, 7).1, preferred);
}

/// Guards against a queue at a full target because the VM that sends the next request has not used it lately.
#[test]
fn a_target_that_is_full_of_requests_of_another_vm_is_not_chosen() {
    let mut vms = vms(2, 4);
    let full = send(&mut vms[0], &[ANSWERED]);
    let key = select(&mut vms[0], NOW, 7).0;
    let report = LoadReport {
        running: 5,
        waiting: 8,
        slots: 4,
    };
    vms[0].on_load_report(NOW, key, report);
    let observations = vms[0].take_observations(NOW, ALL);
    let later = NOW + Millis(100);
    vms[1].apply_observations(later, &observations);
    assert_ne!(select(&mut vms[1], later, 7).1, full);
}

/// Guards against an old load report of another VM that replaces a newer one.
#[test]
fn an_older_load_does_not_replace_a_newer_one() {
    let mut vms = vms(1, 4);
    let preferred = send(&mut vms[0], &[ANSWERED]);
    let key = select(&mut vms[0], NOW, 7).0;
    let idle = LoadReport {
        running: 1,
        waiting: 0,
        slots: 4,
    };
    vms[0].on_load_report(NOW, key, idle);
    vms[0].on_request_end(NOW, key, ANSWERED);
    let observation = TargetObservation {
        process: process(&preferred),
        load: Some(u16::MAX),
        load_age: Millis(500),
        answered: 0,
        failed: 0,
        latency_sum: Millis::ZERO,
    };
    vms[0].apply_observations(NOW, &[observation]);
    assert_eq!(select(&mut vms[0], NOW, 7).1, preferred);
    // The same load, reported at present, makes the target full.
    let present = TargetObservation {
        load_age: Millis::ZERO,
        ..observation
    };
    let later = NOW + Millis(10);
    vms[0].apply_observations(later, &[present]);
    assert_ne!(select(&mut vms[0], later, 7).1, preferred);
}

/// Guards against observations that are sent twice, and so count twice, and against some that are lost because a datagram
/// has no room for all. Failures come first.
#[test]
fn each_observation_is_sent_once_and_failures_first() {
    let mut vms = vms(1, 8);
    for affinity_hash in 0..50 {
        let key = select(&mut vms[0], NOW, affinity_hash).0;
        vms[0].on_request_end(NOW, key, ANSWERED);
    }
    let failing = send(&mut vms[0], &[TargetOutcome::Shed]);
    let first = vms[0].take_observations(NOW, 3);
    let rest = vms[0].take_observations(NOW, ALL);
    assert_eq!(first.len(), 3);
    assert_eq!(first[0].process, process(&failing));
    let answered = first.iter().chain(&rest).map(|o| u32::from(o.answered));
    assert_eq!(answered.sum::<u32>(), 50);
    assert!(vms[0].take_observations(NOW, ALL).is_empty());
}

/// What the callers of a domain got while a target rejected all requests.
struct Played {
    /// Requests that were sent to the rejecting target.
    rejected: usize,
    requests: usize,
}

/// Plays 5 s in which each of 20 VMs gets two requests per second for objects at 12 targets, one of which rejects all
/// requests. `exchange` tells whether VMs send each other their observations each second.
fn play_rejecting_target(exchange: bool, seed: u64) -> Played {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut vms = vms(20, 12);
    let (mut rejected, mut requests) = (0, 0);
    for step in 0..500_u64 {
        let now = NOW + Millis(step * 10);
        for sender in 0..vms.len() {
            // Each VM sends its heartbeat at another time of the second.
            if exchange && step % 100 == 5 * sender as u64 {
                let observations = vms[sender].take_observations(now, ALL);
                for (i, vm) in vms.iter_mut().enumerate() {
                    if i != sender {
                        vm.apply_observations(now, &observations);
                    }
                }
            }
            if rng.u8(..50) > 0 {
                continue;
            }
            requests += 1;
            let (key, id) = select(&mut vms[sender], now, rng.u64(..40));
            let outcome = if id == "t0" {
                TargetOutcome::Shed
            } else {
                ANSWERED
            };
            rejected += usize::from(id == "t0");
            vms[sender].on_request_end(now, key, outcome);
        }
    }
    Played { rejected, requests }
}

/// Guards against callers of a large fleet who meet a failing target as often as if no VM knew of it. Each VM alone sends
/// a request to a given target every six seconds.
#[test]
fn callers_of_many_vms_are_kept_from_a_rejecting_target() {
    for seed in 0..5 {
        let alone = play_rejecting_target(false, seed);
        let together = play_rejecting_target(true, seed);
        let part = |played: &Played| played.rejected as f64 / played.requests as f64;
        assert!(
            part(&together) < 0.5 * part(&alone),
            "seed {seed}: {} together, {} alone",
            part(&together),
            part(&alone)
        );
    }
}
