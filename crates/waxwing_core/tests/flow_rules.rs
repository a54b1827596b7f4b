//! Single rules of the request path that the fuzz test does not pin down.

// Not every part of the model daemon is used here.
#[allow(dead_code)]
#[path = "flow_fuzz/records.rs"]
mod records;
#[allow(dead_code)]
#[path = "flow_fuzz/vm.rs"]
mod vm;

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use fastrand::Rng;
use serde_json::json;
use waxwing_core::{
    ClaimRecord, ClaimState, Fingerprint, Flow, FlowAction, FlowEvent, FlowId, IncomingRequest,
    LoadReport, Observation, Quarantine, Refusal, RetryBudget, Slot,
};
use waxwing_types::{Millis, Ran, RefusalReason, ServiceId, TargetId};

use records::{Kind, Request, TARGETS, WORKSPACES, adopt, arrival, fixed, key, service};
use vm::{Daemon, Live};

fn daemon() -> Daemon {
    daemon_rejecting(0)
}

/// A daemon whose limits reject one request in `reject`, or none if it is 0.
fn daemon_rejecting(reject: u8) -> Daemon {
    let mut daemon = Daemon::new(0, 1, 0, 1, reject);
    let mut list = fixed();
    list.extend((0..WORKSPACES).map(|w| key(w, false)));
    list.push(service([false; TARGETS]));
    let mut other = service([false; TARGETS]);
    other["name"] = json!("other");
    other["spec"]["workspaces"] = json!(["w2"]);
    list.push(other);
    for (version, record) in (1..).zip(&list) {
        adopt(&mut daemon.config, 0, version, record);
    }
    daemon
}

fn check() -> IncomingRequest {
    arrival(Request {
        workspace: 0,
        kind: Kind::Check,
        number: 0,
        poison: false,
    })
}

fn refusal(change: impl Fn(&mut IncomingRequest)) -> Option<Refusal> {
    let mut daemon = daemon();
    let mut arrival = check();
    change(&mut arrival);
    let flow = Flow::new(FlowId(1), arrival);
    daemon.flows.insert(1, Live::new(flow, 0, None));
    let actions = daemon.step(0, 1, FlowEvent::Start);
    actions.into_iter().find_map(|a| match a {
        FlowAction::Refuse(refusal) => Some(refusal),
        _ => None,
    })
}

/// Time of the refusal of a request for which no tokens come, with what was refused.
fn refusal_without_tokens(timeout: Millis) -> (u64, Refusal) {
    let mut daemon = daemon_rejecting(1);
    let mut arrival = check();
    arrival.requested_timeout = Some(timeout);
    daemon
        .flows
        .insert(1, Live::new(Flow::new(FlowId(1), arrival), 0, None));
    let mut now = 0;
    let mut actions = daemon.step(now, 1, FlowEvent::Start);
    loop {
        match actions.as_slice() {
            [FlowAction::Refuse(refusal)] => return (now, *refusal),
            [FlowAction::SetTimer(next)] => now = next.0,
            other => panic!("{other:?} at {now} ms"),
        }
        actions = daemon.step(now, 1, FlowEvent::Timer);
    }
}

/// Guards against requests that are refused while their VM is borrowing tokens, and against requests
/// that wait for tokens without bound or beyond their deadline.
#[test]
fn requests_wait_a_bounded_time_for_borrowed_tokens() {
    let (patient, refusal) = refusal_without_tokens(Millis(5000));
    let (hurried, late) = refusal_without_tokens(Millis(100));

    assert!((220..=1000).contains(&patient), "{patient} ms");
    assert!(hurried <= 100, "{hurried} ms");
    for refusal in [refusal, late] {
        assert_eq!(refusal.reason, RefusalReason::RateLimited);
        assert_eq!(refusal.ran, Ran::No);
    }
}

/// Guards against telling a caller which services of other workspaces exist.
#[test]
fn foreign_and_unknown_services_look_the_same() {
    let foreign = refusal(|a| a.service = "other".into());
    let unknown = refusal(|a| a.service = "none".into());
    assert_eq!(foreign, unknown);
    assert_matches!(foreign, Some(r) if r.reason == RefusalReason::ServiceUnknown);

    for bad_key in [None, Some("k9"), Some("k1")] {
        let with = |service: &'static str| {
            refusal(move |a| {
                a.service = service.into();
                let hash = a.api_key.as_ref().map(|k| k.hash);
                a.api_key = bad_key
                    .zip(hash)
                    .map(|(id, hash)| waxwing_core::PresentedKey {
                        id: id.into(),
                        hash,
                    });
            })
        };
        let found = with("s");
        assert!(found.is_some());
        assert_eq!(found, with("other"));
        assert_eq!(found, with("none"));
    }
}

/// Guards against a path by which a target reaches another route than the one that was checked.
#[test]
fn paths_that_climb_are_refused() {
    for path in [
        "/public/../confirm",
        "/public/%2E%2e/confirm",
        "/public/..%2fconfirm",
        "/a\\..\\b",
        "x",
    ] {
        let found = refusal(|a| a.path = path.into());
        assert_matches!(found, Some(r) if r.reason == RefusalReason::BadRequest, "{path}");
    }
    assert_eq!(refusal(|a| a.path = "/check/a..b?from=../x".into()), None);
}

fn warm() -> (Daemon, ServiceId) {
    let mut daemon = daemon();
    let service: ServiceId = "s".into();
    daemon.targets.sync(Millis(0), &daemon.config, &service);
    (daemon, service)
}

fn take(daemon: &mut Daemon, now: u64, rng: &mut Rng) -> Option<Slot> {
    daemon.targets.take(Millis(now), &"s".into(), &[], rng)
}

/// Guards against herding on a target that claims to be idle, and against stale reports.
#[test]
fn a_lying_report_draws_no_crowd() {
    let (mut daemon, service) = warm();
    let mut rng = Rng::with_seed(3);
    let mut counts = BTreeMap::<TargetId, u32>::new();
    for i in 0..2000 {
        let now = Millis(20_000 + i * 10);
        // The first target lies and is three times slower than the other local one.
        daemon
            .targets
            .on_report(now, &service, &"t0".into(), LoadReport { used: 0 });
        daemon
            .targets
            .on_report(now, &service, &"t1".into(), LoadReport { used: 700 });
        let slot = take(&mut daemon, now.0, &mut rng).expect("a free target");
        let span = if slot.target.as_str() == "t0" { 18 } else { 6 };
        daemon
            .targets
            .observe(now, &slot, Observation::Answered(Millis(span)));
        daemon.targets.give_back(&slot);
        *counts.entry(slot.target).or_default() += 1;
    }
    assert!(counts[&"t0".into()] < 200, "{counts:?}");

    let full = daemon.targets.capacity(Millis(60_000), &service).limit;
    daemon.targets.on_report(
        Millis(60_000),
        &service,
        &"t1".into(),
        LoadReport { used: 2000 },
    );
    assert!(daemon.targets.capacity(Millis(60_000), &service).limit < full);
    assert_eq!(
        daemon.targets.capacity(Millis(62_000), &service).limit,
        full
    );
}

/// Guards against ejecting so many targets that the rest is overloaded, and against targets that
/// never come back.
#[test]
fn at_most_half_of_a_domain_is_ejected() {
    let (mut daemon, service) = warm();
    let mut rng = Rng::with_seed(4);
    for i in 0..200 {
        if let Some(slot) = take(&mut daemon, i, &mut rng) {
            daemon
                .targets
                .observe(Millis(i), &slot, Observation::Failed);
            daemon.targets.give_back(&slot);
        }
    }
    let ejected = daemon.targets.ejected(Millis(200)).count();
    assert_eq!(ejected, 2, "one in each failure domain of the region");
    let usable = daemon.targets.capacity(Millis(200), &service).usable;
    assert_eq!(usable, 2);
    assert_eq!(daemon.targets.ejected(Millis(200_000)).count(), 0);
}

/// Guards against sending a cold target its full load, and against forgetting what is known of
/// targets when their record changes.
#[test]
fn targets_warm_up_once() {
    let (mut daemon, service) = warm();
    let limit = |d: &Daemon, now| d.targets.capacity(Millis(now), &service).limit;
    assert_eq!(
        limit(&daemon, 0),
        4,
        "four targets of the region with one slot each"
    );
    assert_eq!(limit(&daemon, 5000), 12);

    let mut leaving = [false; TARGETS];
    leaving[0] = true;
    adopt(&mut daemon.config, 5000, 900, &records::service(leaving));
    daemon.targets.sync(Millis(5000), &daemon.config, &service);

    assert_eq!(limit(&daemon, 5000), 9);
    let mut rng = Rng::with_seed(5);
    for _ in 0..9 {
        let slot = take(&mut daemon, 5000, &mut rng).expect("a free slot");
        assert_ne!(slot.target.as_str(), "t0", "leaves");
    }
    assert_eq!(take(&mut daemon, 5000, &mut rng), None);
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn retries_stay_within_a_tenth_and_shrink_under_load() {
    for (load, allowed) in [(0, 100), (500, 100), (750, 60), (1000, 20)] {
        let mut budget = RetryBudget::default();
        let service: ServiceId = "s".into();
        for i in 0..1000 {
            budget.record_request(Millis(i), &service);
        }
        let taken = (0..1000)
            .filter(|_| budget.try_take(Millis(1000), &service, load))
            .count();
        assert_eq!(taken, allowed, "load {load}");
        assert!(
            budget.try_take(Millis(20_000), &service, load),
            "a new window"
        );
    }
}

/// Guards against fingerprints that peers hand around after the crashes are long over.
#[test]
fn quarantine_ends_although_peers_repeat_it() {
    let print = Fingerprint(7);
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    assert!(!a.record_crash(Millis(10), print, &"t0".into(), Millis(0)));
    // Another copy that the same crash broke.
    assert!(!a.record_crash(Millis(10), print, &"t0".into(), Millis(5)));
    assert!(a.record_crash(Millis(10), print, &"t1".into(), Millis(0)));
    for minute in 0..30 {
        let now = Millis::from_secs(minute * 60) + Millis(10);
        let (from_a, from_b) = (
            a.fingerprints_to_share(now, 10),
            b.fingerprints_to_share(now, 10),
        );
        b.merge_peer(now, &from_a);
        a.merge_peer(now, &from_b);
        assert_eq!(a.is_quarantined(now, print), minute < 10, "minute {minute}");
        assert_eq!(b.is_quarantined(now, print), minute < 10, "minute {minute}");
    }
}

/// Guards against a run on the strength of a value that cannot be read, and against keys that
/// stay blocked after the sweep.
#[test]
fn odd_claim_values_are_safe() {
    let state = |value: &[u8]| ClaimRecord::parse(value).state;
    assert_eq!(state(b"in_flight"), ClaimState::Unknown);
    assert_eq!(state(b"released xyz"), ClaimState::Unknown);
    assert_eq!(state(&[0xff, 0]), ClaimState::Unknown);
    assert_eq!(state(br#"{"withdrawn": true}"#), ClaimState::Released);
    for state in [
        ClaimState::InFlight,
        ClaimState::Answered(201),
        ClaimState::Released,
        ClaimState::Unknown,
    ] {
        let record = ClaimRecord {
            state,
            token: Some(u128::MAX - 5),
        };
        assert_eq!(ClaimRecord::parse(&record.to_bytes()), record);
    }
}
