//! Tests of targets that ask for a pause with `Retry-After`, in virtual time.

mod common;
#[path = "common/process.rs"]
mod process;

use std::collections::HashMap;

use assert_matches::assert_matches;
use common::{criteria, pool, target};
use process::{LEAVING, NOW, process, select, selected};
use waxwing_edge::{
    LoadReport, Pause, PauseRequest, Selection, TargetKey, TargetNotice, TargetOutcome, TargetPool,
};
use waxwing_types::{Millis, RegionId, ServiceId};

/// A response with 503 and the given value of `Retry-After`.
fn pause(value: &str) -> TargetNotice {
    TargetNotice {
        leaving: false,
        pause: Some(PauseRequest::parse(value.as_bytes())),
    }
}

/// A pool with target `t1`, which has asked for a pause.
fn pool_with_paused_target(value: &str) -> TargetPool {
    let mut pool = pool();
    pool.upsert(NOW, process(1));
    pool.on_notice(NOW, &selected(&process(1)), pause(value));
    pool
}

/// Guards against a value that ends the process, or is taken for another length than the target meant.
#[test]
fn odd_values_of_a_pause_are_read_or_ignored() {
    let hour = PauseRequest::For(Millis::from_secs(3600));
    let cases = [
        ("0", PauseRequest::For(Millis::ZERO)),
        ("2", PauseRequest::For(Millis(2000))),
        (" 007 ", PauseRequest::For(Millis(7000))),
        ("0.25", PauseRequest::For(Millis(250))),
        (".5", PauseRequest::For(Millis(500))),
        ("1.", PauseRequest::For(Millis(1000))),
        ("0.0001", PauseRequest::For(Millis(1))),
        ("0.2500", PauseRequest::For(Millis(250))),
        ("0.9999", PauseRequest::For(Millis(1000))),
        ("3600", hour),
        ("0000000000000000000003600.000", hour),
        ("3600.0001", PauseRequest::TooLong),
        ("9999999", PauseRequest::TooLong),
        ("18446744073709551616", PauseRequest::TooLong),
        (&"9".repeat(10_000), PauseRequest::TooLong),
    ];
    for (text, expected) in cases {
        assert_eq!(PauseRequest::parse(text.as_bytes()), expected, "{text}");
    }
    let unusable = [
        "",
        " ",
        ".",
        "-1",
        "+1",
        "1 s",
        "1,5",
        "1.2.3",
        "1e3",
        "inf",
        "NaN",
        "soon",
        "0x10",
        "\u{661}",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ];
    for text in unusable {
        let parsed = PauseRequest::parse(text.as_bytes());
        assert_eq!(parsed, PauseRequest::Unusable, "{text}");
    }
    assert_eq!(PauseRequest::parse(b"\xff\x00"), PauseRequest::Unusable);
}

/// Guards against requests in a pause, and against a pause without end.
#[test]
fn a_target_gets_no_requests_in_its_pause() {
    let mut pool = pool_with_paused_target("2.5");
    for age in [0, 500, 2499, 2500] {
        assert_matches!(
            select(&mut pool, NOW + Millis(age)),
            Selection::Paused(_),
            "{age}"
        );
    }
    // The target may have asked for the pause up to a millisecond later than the clock shows.
    assert_matches!(
        select(&mut pool, NOW + Millis(2501)),
        Selection::Selected(..)
    );
}

/// Guards against a later answer with a shorter time that ends a pause early: the target may have sent it first.
#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut pool = pool_with_paused_target("2");
    for (age, value) in [(100, "0.1"), (200, "0"), (300, "soon")] {
        pool.on_notice(NOW + Millis(age), &selected(&process(1)), pause(value));
    }
    assert_matches!(select(&mut pool, NOW + Millis(1900)), Selection::Paused(_));
    let change = pool.on_notice(NOW + Millis(1900), &selected(&process(1)), pause("1"));
    assert_eq!(change.began_pause, None);
    assert_matches!(select(&mut pool, NOW + Millis(2800)), Selection::Paused(_));
    assert_matches!(
        select(&mut pool, NOW + Millis(2901)),
        Selection::Selected(..)
    );
}

/// Guards against a wrong value that keeps a target out of use for good, or that is reported with each response.
#[test]
fn a_wrong_value_asks_for_an_hour_at_most() {
    let mut paused = pool_with_paused_target("99999999999");
    assert_matches!(
        select(&mut paused, NOW + Millis::from_secs(3600)),
        Selection::Paused(_)
    );
    assert_matches!(
        select(&mut paused, NOW + Millis::from_secs(3601)),
        Selection::Selected(..)
    );
    for value in ["-1", "soon"] {
        let mut pool = pool();
        pool.upsert(NOW, process(1));
        let first = pool.on_notice(NOW, &selected(&process(1)), pause(value));
        let second = pool.on_notice(NOW, &selected(&process(1)), pause(value));
        assert!(first.first_odd_value && !second.first_odd_value, "{value}");
        assert_matches!(select(&mut pool, NOW), Selection::Selected(..), "{value}");
    }
}

/// Guards against the request with which an ejected target is tried again, in a pause.
#[test]
fn a_pause_binds_the_trial_of_an_ejected_target() {
    let mut pool = pool();
    pool.upsert(NOW, process(1));
    let Selection::Selected(key, _) = select(&mut pool, NOW) else {
        panic!("no target");
    };
    pool.on_request_end(NOW, key, TargetOutcome::ConnectFailed);
    pool.on_notice(NOW, &selected(&process(1)), pause("2"));
    // The ejection ends after 400 ms.
    assert_matches!(select(&mut pool, NOW + Millis(1000)), Selection::Paused(_));
    assert_matches!(
        select(&mut pool, NOW + Millis(2001)),
        Selection::Selected(..)
    );
}

/// Guards against an entry that is listed again and ends a pause, and against a pause of the next process.
#[test]
fn a_pause_is_that_of_one_process() {
    let mut pool = pool_with_paused_target("2");
    pool.remove(NOW + Millis(100), &process(1).id);
    pool.upsert(NOW + Millis(200), process(1));
    assert_matches!(select(&mut pool, NOW + Millis(1900)), Selection::Paused(_));
    assert!(pool.is_withdrawn(NOW + Millis(1900), &selected(&process(1))));
    pool.upsert(NOW + Millis(1900), process(2));
    assert!(!pool.is_withdrawn(NOW + Millis(1900), &selected(&process(2))));
    assert!(pool.is_withdrawn(NOW + Millis(1900), &selected(&process(1))));
    assert_matches!(
        select(&mut pool, NOW + Millis(1900)),
        Selection::Selected(..)
    );
}

/// Guards against the end of a pause that brings a leaving target back.
#[test]
fn a_target_that_leaves_in_its_pause_stays_left_out() {
    let mut pool = pool_with_paused_target("2");
    pool.on_notice(NOW + Millis(100), &selected(&process(1)), LEAVING);
    assert_matches!(select(&mut pool, NOW + Millis(100)), Selection::NoTarget);
    pool.remove(NOW + Millis(200), &process(1).id);
    pool.upsert(NOW + Millis(300), process(1));
    assert_matches!(select(&mut pool, NOW + Millis(5000)), Selection::NoTarget);
}

/// Guards against callers that are told to come back before the first pause ends, or long after a target is usable.
#[test]
fn a_service_whose_targets_are_all_in_a_pause_names_the_earliest_end() {
    let mut pool = pool_with_paused_target("3");
    pool.upsert(NOW, target("t2", "c"));
    pool.on_notice(NOW + Millis(500), &selected(&target("t2", "c")), pause("1"));
    let now = NOW + Millis(700);
    let earliest = Pause {
        left: Millis(801),
        length: Millis(1001),
    };
    assert_eq!(select(&mut pool, now), Selection::Paused(earliest));
    let service = ServiceId::from("s");
    let own_region = |region: &RegionId| region.as_str() == "r1";
    let pause_of = |pool: &TargetPool| pool.pause(now, &service, &own_region).map(|p| p.left);
    assert_eq!(pause_of(&pool), Some(Millis(2301)));
    // A draining target and one whose address another process uses will not be usable.
    let mut draining = target("t3", "a");
    draining.state = waxwing_records::TargetState::Draining;
    pool.upsert(now, draining);
    assert_eq!(pause_of(&pool), Some(Millis(2301)));
    pool.upsert(now, target("t4", "a"));
    assert_eq!(pause_of(&pool), None);
    let Selection::Selected(key, _) = select(&mut pool, now) else {
        panic!("no target");
    };
    // The request that has tried the only usable target is told to come back soon.
    let tried: [TargetKey; 1] = [key];
    let mut criteria = criteria(&service, 1, &own_region);
    criteria.tried = &tried;
    let selection = pool.select(now, &criteria, &mut fastrand::Rng::with_seed(1));
    assert_eq!(selection, Selection::NoTarget);
    pool.on_request_end(now, key, TargetOutcome::Misdirected);
    assert_eq!(pause_of(&pool), Some(Millis(2301)));
}

/// Guards against a burst at a cold target after its pause: it may hold one token, whatever the length of the pause.
#[test]
fn a_cold_target_has_one_token_after_a_pause() {
    let mut pool = pool();
    let mut cold = process(1);
    cold.cold_left = Millis::from_secs(10);
    pool.upsert(NOW, cold);
    pool.on_notice(NOW, &selected(&process(1)), pause("2"));
    for step in 0..10 {
        pool.tick(NOW + Millis(250 * step));
    }
    let now = NOW + Millis(2300);
    assert_matches!(select(&mut pool, now), Selection::Selected(..));
    assert_matches!(select(&mut pool, now), Selection::NoTarget);
}

/// Guards against a region split that follows each short pause of a few targets: at most 0.15 may move in 2 s.
#[test]
fn pauses_of_a_few_targets_do_not_move_the_region_split() {
    let mut pool = pool();
    let service = ServiceId::from("s");
    for i in 0..10 {
        let domain = if i < 5 { "a" } else { "c" };
        pool.upsert(NOW, target(&format!("t{i}"), domain));
    }
    pool.tick(NOW);
    let mut keys = HashMap::new();
    for affinity_hash in 0..200 {
        let criteria = criteria(&service, affinity_hash, &|_| true);
        let selection = pool.select(NOW, &criteria, &mut fastrand::Rng::with_seed(1));
        if let Selection::Selected(key, target) = selection {
            pool.on_request_end(NOW, key, TargetOutcome::Cancelled);
            keys.insert(target.id.to_string(), key);
        }
    }
    let own_targets = ["t0", "t1", "t2", "t3", "t4"];
    assert!(own_targets.iter().all(|id| keys.contains_key(*id)));
    let mut fractions = Vec::new();
    for step in 0..120 {
        let now = NOW + Millis(step * 250);
        // Two of the five targets of the own region pause for a second of every two, and the others take their requests.
        let is_pause = step % 8 < 4;
        for id in &own_targets[..2] {
            if step % 8 == 0 {
                pool.on_notice(now, &selected(&target(id, "a")), pause("1"));
            }
        }
        let report = LoadReport {
            running: 4,
            waiting: if is_pause { 4 } else { 0 },
            slots: 4,
        };
        for id in own_targets {
            pool.on_load_report(now, keys[id], report);
        }
        pool.tick(now);
        let fraction = pool.region_fraction(&service, &"r1".into());
        fractions.push(fraction.expect("a split"));
    }
    for window in fractions.windows(9) {
        let moved = (window[8] - window[0]).abs();
        assert!(moved < 0.15, "a fraction of {moved} moved in 2 s");
    }
    assert!(fractions[119] < fractions[0], "{fractions:?}");
}

/// Guards against a pause that is forgotten because the process that asked for it was taken for the one before: its entry is read
/// after its first answer.
#[test]
fn a_pause_of_a_process_whose_entry_is_read_later_holds_for_it() {
    let mut pool = pool();
    pool.upsert(NOW, process(1));
    let notice = pause("2");
    let request = notice.pause.expect("a pause");
    pool.on_notice(NOW, &selected(&process(1)), notice);
    pool.on_unidentified_pause(NOW, &selected(&process(1)), request, Millis(100));

    pool.upsert(NOW + Millis(500), process(2));

    let in_pause = select(&mut pool, NOW + Millis(1900));
    assert!(matches!(in_pause, Selection::Paused(_)), "{in_pause:?}");
    let after = select(&mut pool, NOW + Millis(2100));
    assert!(matches!(after, Selection::Selected(..)), "{after:?}");
}

/// Guards against a pause that outlasts the process that asked for it: the next one began long after.
#[test]
fn a_pause_does_not_hold_for_a_process_whose_entry_is_read_much_later() {
    let mut pool = pool();
    pool.upsert(NOW, process(1));
    let notice = pause("600");
    let request = notice.pause.expect("a pause");
    pool.on_notice(NOW, &selected(&process(1)), notice);
    pool.on_unidentified_pause(NOW, &selected(&process(1)), request, Millis(100));

    pool.upsert(NOW + Millis::from_secs(5), process(2));

    let selection = select(&mut pool, NOW + Millis::from_secs(5));
    assert!(
        matches!(selection, Selection::Selected(..)),
        "{selection:?}"
    );
}
