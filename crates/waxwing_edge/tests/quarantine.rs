//! Tests of the quarantine of requests that crash targets.

use proptest::prelude::*;
use waxwing_edge::{Crash, NameHasher, Quarantine, RequestName, TargetProcess};
use waxwing_types::{Incarnation, Millis};

/// The process of a target with an incarnation.
fn process(incarnation: u64) -> TargetProcess {
    TargetProcess::new(&"t1".into(), Incarnation(incarnation))
}

/// The name of the request with a number.
fn name(number: u64) -> RequestName {
    NameHasher::new(&[b"POST", &number.to_le_bytes()]).whole()
}

fn crash(incarnation: u64, at: Millis) -> Crash {
    Crash {
        process: process(incarnation),
        at,
    }
}

/// Lets a process crash while it runs requests.
fn crash_running(quarantine: &mut Quarantine, at: Millis, incarnation: u64, running: &[u64]) {
    for number in running {
        quarantine.on_connection_broken(at, &[name(*number)], process(incarnation));
    }
    quarantine.on_process_crash(at + Millis(10), process(incarnation));
}

/// Guards against a request that crashes one target after the other, because it is retried after each crash.
/// Request 7 crashes targets; request 8 has crashed none.
#[test]
fn a_request_that_crashed_two_targets_is_quarantined() {
    let mut quarantine = Quarantine::default();
    for (at, process) in [(Millis(1000), process(1)), (Millis(3000), process(2))] {
        assert!(!quarantine.contains(at, name(7)));
        quarantine.on_connection_broken(at, &[name(7)], process);
        assert_eq!(
            quarantine.on_process_crash(at + Millis(10), process),
            [name(7)]
        );
    }
    assert!(quarantine.contains(Millis(4000), name(7)));
    assert!(!quarantine.contains(Millis(4000), name(8)));
    assert_eq!(quarantine.count(Millis(4000)), 1);
}

/// Guards against a crash that is found only if this VM fails to connect: the later process of the target shows it seconds after.
#[test]
fn a_crash_is_found_when_the_target_is_back() {
    let mut quarantine = Quarantine::default();
    quarantine.on_connection_broken(Millis(1000), &[name(7)], process(1));
    assert_eq!(
        quarantine.on_process_crash(Millis(6000), process(1)),
        [name(7)]
    );
    quarantine.on_connection_broken(Millis(7000), &[name(7)], process(2));
    assert!(
        quarantine
            .on_process_crash(Millis(30_000), process(2))
            .is_empty()
    );
}

/// Guards against one crash that counts as several, because several requests with the same name were running or
/// several VMs report it.
#[test]
fn one_crash_counts_once() {
    let mut quarantine = Quarantine::default();
    quarantine.on_connection_broken(Millis(1000), &[name(7)], process(1));
    quarantine.on_connection_broken(Millis(1000), &[name(7)], process(1));
    assert_eq!(
        quarantine.on_process_crash(Millis(1100), process(1)),
        [name(7)]
    );
    quarantine.on_crash_report(Millis(1200), name(7), crash(1, Millis(1100)));
    assert!(!quarantine.contains(Millis(1300), name(7)));
    quarantine.on_crash_report(Millis(1400), name(7), crash(2, Millis(1400)));
    assert!(quarantine.contains(Millis(1500), name(7)));
}

/// Guards against a sound request that is quarantined: its connection broke though the process is alive, or another target
/// answered it after a crash.
#[test]
fn a_sound_request_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine.on_connection_broken(Millis(1000), &[name(7)], process(1));
    quarantine.clear_suspects(process(1));
    assert!(
        quarantine
            .on_process_crash(Millis(2000), process(1))
            .is_empty()
    );
    quarantine.on_crash_report(Millis(3000), name(7), crash(2, Millis(3000)));
    quarantine.on_answer(name(7));
    quarantine.on_crash_report(Millis(4000), name(7), crash(3, Millis(4000)));
    assert!(!quarantine.contains(Millis(5000), name(7)));
}

/// Guards against a sound request that is refused because its retry ran beside that of a fatal one: both are recorded for
/// the same crashes until the fatal one has caused another.
#[test]
fn a_request_that_ran_beside_a_fatal_one_twice_is_not_quarantined() {
    let (fatal, sound) = (7, 8);
    let mut quarantine = Quarantine::default();
    crash_running(&mut quarantine, Millis(1000), 1, &[fatal, sound]);
    crash_running(&mut quarantine, Millis(2000), 2, &[fatal, sound]);
    assert!(!quarantine.contains(Millis(3000), name(sound)));
    crash_running(&mut quarantine, Millis(3000), 3, &[fatal]);
    assert!(quarantine.contains(Millis(4000), name(fatal)));
    assert!(!quarantine.contains(Millis(4000), name(sound)));
}

/// Guards against two fatal requests that come together and so excuse each other for ever.
#[test]
fn requests_that_always_run_together_are_quarantined_after_four_crashes() {
    let mut quarantine = Quarantine::default();
    for incarnation in 1..=4 {
        assert_eq!(quarantine.count(Millis(1000)), 0);
        crash_running(&mut quarantine, Millis(1000), incarnation, &[7, 8]);
    }
    assert_eq!(quarantine.count(Millis(2000)), 2);
}

/// Guards against a late or repeated report that brings back a crash of which the request was cleared.
#[test]
fn a_late_report_does_not_undo_an_answer() {
    let mut quarantine = Quarantine::default();
    quarantine.on_crash_report(Millis(1000), name(7), crash(1, Millis(1000)));
    quarantine.on_answer(name(7));
    for at in [Millis(1100), Millis(1200)] {
        quarantine.on_crash_report(at, name(7), crash(1, Millis(1000)));
    }
    quarantine.on_crash_report(Millis(2000), name(7), crash(2, Millis(2000)));
    assert!(!quarantine.contains(Millis(2100), name(7)));
}

/// Guards against a VM that goes on refusing a sound request, because it was told of the crashes and not of the answer: its
/// repeated report is answered with what is excused, once a second.
#[test]
fn a_vm_that_missed_an_answer_is_told_again() {
    let (mut informed, mut other) = (Quarantine::default(), Quarantine::default());
    for quarantine in [&mut informed, &mut other] {
        crash_running(quarantine, Millis(1000), 1, &[7]);
        crash_running(quarantine, Millis(1000), 2, &[7]);
    }
    assert_eq!(informed.on_answer(name(7)), [process(1), process(2)]);
    let reports = other.on_copy_refused(Millis(3000), name(7));
    assert_eq!(reports.len(), 2);
    assert!(other.on_copy_refused(Millis(3500), name(7)).is_empty());
    let mut excused = Vec::new();
    for report in reports {
        excused.extend(informed.on_crash_report(Millis(3000), name(7), report));
    }
    assert_eq!(excused, [process(1), process(2)]);
    other.on_excuse_report(Millis(3000), name(7), &excused);
    assert!(!other.contains(Millis(3000), name(7)));
}

/// Guards against a request that goes on crashing targets as often as its quarantine ends while it is being repeated, and
/// against one that is refused for good although the targets no longer crash.
#[test]
fn a_quarantined_request_that_comes_again_is_tried_ever_more_rarely() {
    let mut quarantine = Quarantine::default();
    crash_running(&mut quarantine, Millis(0), 1, &[7]);
    let mut crashes = Vec::new();
    for secs in 0..6 * 3600 {
        let now = Millis::from_secs(secs);
        if quarantine.contains(now, name(7)) {
            quarantine.on_copy_refused(now, name(7));
        } else {
            crash_running(&mut quarantine, now, 2 + secs, &[7]);
            crashes.push(secs);
        }
        quarantine.drop_expired(now);
    }
    assert_eq!(crashes, [0, 61, 302, 1263, 5104, 20_465]);
    let later = Millis::from_secs(6 * 3600 + 61);
    quarantine.drop_expired(later);
    assert!(!quarantine.contains(later, name(7)));
}

/// Guards against a fatal request that is not recognized because the tables are full of requests that ran beside a crash.
#[test]
fn a_fatal_request_is_quarantined_among_many_others() {
    let mut quarantine = Quarantine::default();
    for incarnation in 1..=2 {
        let at = Millis(1000 * incarnation);
        crash_running(&mut quarantine, at, incarnation, &[7]);
        let others = 10_000 * incarnation..10_000 * incarnation + 5000;
        for other in others.clone() {
            quarantine.on_connection_broken(at + Millis(500), &[name(other)], process(100 + other));
        }
        for other in others {
            quarantine.on_process_crash(at + Millis(500), process(100 + other));
        }
    }
    assert!(quarantine.contains(Millis(3000), name(7)));
}

/// Guards against requests that are refused because they begin like a fatal one.
#[test]
fn no_request_is_quarantined_for_its_start() {
    let mut hasher = NameHasher::new(&[b"POST"]);
    hasher.update(&[0; 5000]);
    let partial = hasher.partial().expect("a long body");
    let mut quarantine = Quarantine::default();
    for incarnation in 1..=5 {
        quarantine.on_connection_broken(Millis(1000), &[partial], process(incarnation));
        quarantine.on_process_crash(Millis(1000), process(incarnation));
    }
    assert!(quarantine.has_crashed(partial));
    assert!(!quarantine.contains(Millis(2000), partial));
    assert_eq!(quarantine.count(Millis(2000)), 0);
}

/// Guards against requests that share a name because they differ only behind the bytes that it covers, and against copies with
/// names of their own because their bodies arrive in other pieces.
#[test]
fn a_name_covers_the_whole_request() {
    let named = |head: &[&[u8]], body: &[u8], piece: usize| {
        let mut hasher = NameHasher::new(head);
        for piece in body.chunks(piece) {
            hasher.update(piece);
        }
        (hasher.whole(), hasher.partial())
    };
    let head: [&[u8]; 2] = [b"/a?x=1", b"w"];
    let mut body = vec![7; 2_000_000];
    let (whole, partial) = named(&head, &body, 2_000_000);
    for piece in [1, 1000, 4096, 65_536] {
        assert_eq!(named(&head, &body, piece), (whole, partial));
    }
    for position in [0, 4095, 4096, 1_000_000, 1_999_999] {
        body[position] ^= 1;
        let (other, other_partial) = named(&head, &body, 65_536);
        assert_ne!(other, whole, "byte {position}");
        assert_eq!(other_partial == partial, position >= 4096);
        body[position] ^= 1;
    }
    assert_ne!(named(&head, &body[1..], 65_536).0, whole);
    assert_ne!(named(&[b"/a?x=2", b"w"], &body, 65_536).0, whole);
    assert_ne!(named(&[b"/a?x=1w", b""], &body, 65_536).0, whole);
    assert!(!whole.is_partial());
}

/// A message between VMs about request 7.
#[derive(Clone, Copy, Debug)]
enum Report {
    Crash(u64),
    Excuse(u64),
}

fn apply(quarantine: &mut Quarantine, report: Report) {
    let now = Millis(1000);
    match report {
        Report::Crash(incarnation) => {
            quarantine.on_crash_report(now, name(7), crash(incarnation, now));
        }
        Report::Excuse(incarnation) => {
            quarantine.on_excuse_report(now, name(7), &[process(incarnation)]);
        }
    }
}

proptest! {
    /// Guards against VMs that disagree for good, because reports reached them in another order or more than once.
    #[test]
    fn the_order_of_reports_has_no_effect(
        reports in prop::collection::vec(
            (0_u64..6).prop_flat_map(|i| prop_oneof![Just(Report::Crash(i)), Just(Report::Excuse(i))]),
            0..12,
        ),
        seed in any::<u64>(),
    ) {
        let (mut first, mut second) = (Quarantine::default(), Quarantine::default());
        for report in &reports {
            apply(&mut first, *report);
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut shuffled = reports.repeat(2);
        rng.shuffle(&mut shuffled);
        for report in shuffled {
            apply(&mut second, report);
        }
        prop_assert_eq!(first.contains(Millis(1100), name(7)), second.contains(Millis(1100), name(7)));
        let expected = (0..6).filter(|i| {
            let has = |wanted: fn(u64) -> Report| reports.iter().any(|r| format!("{r:?}") == format!("{:?}", wanted(*i)));
            has(Report::Crash) && !has(Report::Excuse)
        });
        prop_assert_eq!(first.contains(Millis(1100), name(7)), expected.count() >= 2);
    }
}
