//! Tests of the quarantine of requests that crash targets.

use waxwing_edge::{Quarantine, TargetProcess};
use waxwing_types::{Incarnation, Millis};

/// The process of a target with an incarnation.
fn process(incarnation: u64) -> TargetProcess {
    TargetProcess::new(&"t1".into(), Incarnation(incarnation))
}

/// Guards against a request that crashes one target after the other, because it is retried after each crash.
/// The request has the fingerprint 7; no request with the fingerprint 8 has crashed a target.
#[test]
fn a_request_that_crashed_two_targets_is_quarantined() {
    let mut quarantine = Quarantine::default();
    for (at, process) in [(Millis(1000), process(1)), (Millis(3000), process(2))] {
        assert!(!quarantine.contains(at, 7));
        quarantine.on_connection_broken(at, 7, process);
        assert_eq!(quarantine.on_process_crash(at + Millis(10), process), [7]);
    }
    assert!(quarantine.contains(Millis(4000), 7));
    assert!(!quarantine.contains(Millis(4000), 8));
    assert_eq!(quarantine.count(Millis(4000)), 1);
}

/// Guards against a crash that is found only if this VM fails to connect: the later process of the target shows it seconds after.
#[test]
fn a_crash_is_found_when_the_target_is_back() {
    let mut quarantine = Quarantine::default();
    quarantine.on_connection_broken(Millis(1000), 7, process(1));
    assert_eq!(quarantine.on_process_crash(Millis(6000), process(1)), [7]);
    quarantine.on_connection_broken(Millis(7000), 7, process(2));
    assert!(
        quarantine
            .on_process_crash(Millis(30_000), process(2))
            .is_empty()
    );
}

/// Guards against one crash that counts as several, because several requests with the same fingerprint were running or
/// several VMs report it.
#[test]
fn one_crash_counts_once() {
    let mut quarantine = Quarantine::default();
    quarantine.on_connection_broken(Millis(1000), 7, process(1));
    quarantine.on_connection_broken(Millis(1000), 7, process(1));
    assert_eq!(quarantine.on_process_crash(Millis(1100), process(1)), [7]);
    quarantine.on_crash_report(Millis(1200), 7, process(1));
    assert!(!quarantine.contains(Millis(1300), 7));
    quarantine.on_crash_report(Millis(1400), 7, process(2));
    assert!(quarantine.contains(Millis(1500), 7));
}

/// Guards against a sound request that is quarantined: its connection broke though the process is alive, or another target
/// answered it after a crash.
#[test]
fn a_sound_request_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine.on_connection_broken(Millis(1000), 7, process(1));
    quarantine.clear_suspects(process(1));
    assert!(
        quarantine
            .on_process_crash(Millis(2000), process(1))
            .is_empty()
    );
    quarantine.on_crash_report(Millis(3000), 7, process(2));
    quarantine.on_success(7);
    quarantine.on_crash_report(Millis(4000), 7, process(3));
    assert!(!quarantine.contains(Millis(5000), 7));
}
