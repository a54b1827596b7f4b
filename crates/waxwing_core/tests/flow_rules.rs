//! Tests of rules of the request path that the fuzz test does not check.

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

use records::{
    Request, RequestKind, TARGETS, WORKSPACES, apply_record, fixed_records, incoming_request,
    key_record, service_record,
};
use vm::{ActiveFlow, ModelDaemon};

/// A daemon whose rate limits reject no request.
fn daemon() -> ModelDaemon {
    daemon_rejecting_one_in(0)
}

/// A daemon whose rate limits reject one request in `reject_one_in`, or none if that is 0. Only the
/// workspace `w2` may call the service `other`.
fn daemon_rejecting_one_in(reject_one_in: u8) -> ModelDaemon {
    // VM 0, process 1, at 0 ms, seed 1.
    let mut daemon = ModelDaemon::new(0, 1, 0, 1, reject_one_in);
    let mut records = fixed_records();
    records.extend((0..WORKSPACES).map(|w| key_record(w, false)));
    records.push(service_record([false; TARGETS]));
    let mut other_service = service_record([false; TARGETS]);
    other_service["name"] = json!("other");
    other_service["spec"]["workspaces"] = json!(["w2"]);
    records.push(other_service);
    for (version, record) in (1..).zip(&records) {
        apply_record(&mut daemon.config, 0, version, record);
    }
    daemon
}

/// An idempotent request of the workspace `w0` to the service `s`.
fn check_request() -> IncomingRequest {
    incoming_request(Request {
        workspace: 0,
        kind: RequestKind::Check,
        number: 0,
        poison: false,
    })
}

/// Returns the refusal of a check request after `change`, or `None` if the request is not refused.
fn refusal_of(change: impl Fn(&mut IncomingRequest)) -> Option<Refusal> {
    let mut daemon = daemon();
    let mut request = check_request();
    change(&mut request);
    let flow = Flow::new(FlowId(1), request);
    daemon.flows.insert(1, ActiveFlow::new(flow, 0, None));
    let actions = daemon.step(0, 1, FlowEvent::Start);
    actions.into_iter().find_map(|a| match a {
        FlowAction::Refuse(refusal) => Some(refusal),
        _ => None,
    })
}

/// Sends a request that never gets tokens. Returns the time in ms of the refusal, and the refusal.
fn time_and_refusal_without_tokens(timeout: Millis) -> (u64, Refusal) {
    let mut daemon = daemon_rejecting_one_in(1);
    let mut request = check_request();
    request.requested_timeout = Some(timeout);
    daemon
        .flows
        .insert(1, ActiveFlow::new(Flow::new(FlowId(1), request), 0, None));
    let mut now_ms = 0;
    let mut actions = daemon.step(now_ms, 1, FlowEvent::Start);
    loop {
        match actions.as_slice() {
            [FlowAction::Refuse(refusal)] => return (now_ms, *refusal),
            [FlowAction::SetTimer(next)] => now_ms = next.0,
            other => panic!("{other:?} at {now_ms} ms"),
        }
        actions = daemon.step(now_ms, 1, FlowEvent::Timer);
    }
}

/// Guards against requests that are refused at once although their VM is borrowing tokens, and
/// against requests that wait for tokens too long or beyond their deadline.
#[test]
fn requests_wait_a_bounded_time_for_borrowed_tokens() {
    let (refused_at_with_long_timeout, long_timeout_refusal) =
        time_and_refusal_without_tokens(Millis(5000));
    let (refused_at_with_short_timeout, short_timeout_refusal) =
        time_and_refusal_without_tokens(Millis(100));

    assert!(
        (220..=1000).contains(&refused_at_with_long_timeout),
        "{refused_at_with_long_timeout} ms"
    );
    assert!(
        refused_at_with_short_timeout <= 100,
        "{refused_at_with_short_timeout} ms"
    );
    for refusal in [long_timeout_refusal, short_timeout_refusal] {
        assert_eq!(refusal.reason, RefusalReason::RateLimited);
        assert_eq!(refusal.ran, Ran::No);
    }
}

/// Guards against refusals that tell a caller which services of other workspaces exist.
#[test]
fn foreign_and_unknown_services_get_the_same_refusal() {
    let foreign = refusal_of(|request| request.service = "other".into());
    let unknown = refusal_of(|request| request.service = "none".into());
    assert_eq!(foreign, unknown);
    assert_matches!(foreign, Some(r) if r.reason == RefusalReason::ServiceUnknown);

    // No key, an unknown key, and a key of another workspace with a wrong hash.
    for bad_key in [None, Some("k9"), Some("k1")] {
        let refusal_with_bad_key = |service: &'static str| {
            refusal_of(move |request| {
                request.service = service.into();
                let hash = request.api_key.as_ref().map(|k| k.hash);
                request.api_key = bad_key
                    .zip(hash)
                    .map(|(id, hash)| waxwing_core::PresentedKey {
                        id: id.into(),
                        hash,
                    });
            })
        };
        let refusal = refusal_with_bad_key("s");
        assert!(refusal.is_some());
        assert_eq!(refusal, refusal_with_bad_key("other"));
        assert_eq!(refusal, refusal_with_bad_key("none"));
    }
}

/// Guards against paths that a target resolves to another route than the one that was authorized.
#[test]
fn paths_with_parent_segments_are_refused() {
    for path in [
        "/public/../confirm",
        "/public/%2E%2e/confirm",
        "/public/..%2fconfirm",
        "/a\\..\\b",
        "x",
    ] {
        let refusal = refusal_of(|request| request.path = path.into());
        assert_matches!(refusal, Some(r) if r.reason == RefusalReason::BadRequest, "{path}");
    }
    assert_eq!(
        refusal_of(|request| request.path = "/check/a..b?from=../x".into()),
        None
    );
}

/// A daemon that has read the targets of the service `s` from its configuration.
fn daemon_and_service() -> (ModelDaemon, ServiceId) {
    let mut daemon = daemon();
    let service: ServiceId = "s".into();
    daemon.targets.sync(Millis(0), &daemon.config, &service);
    (daemon, service)
}

/// Takes a slot of any target of the service `s`.
fn take_slot(daemon: &mut ModelDaemon, now_ms: u64, rng: &mut Rng) -> Option<Slot> {
    daemon.targets.take(Millis(now_ms), &"s".into(), &[], rng)
}

/// Guards against sending most requests to a target that always reports to be idle, and against
/// using load reports that are out of date.
#[test]
fn a_false_idle_report_does_not_attract_requests() {
    let (mut daemon, service) = daemon_and_service();
    let mut rng = Rng::with_seed(3);
    let mut slots_taken = BTreeMap::<TargetId, u32>::new();
    for i in 0..2000 {
        let now = Millis(20_000 + i * 10);
        // `t0` reports to be idle, but is three times as slow as `t1`, the other target in the
        // domain.
        daemon
            .targets
            .on_report(now, &service, &"t0".into(), LoadReport { used: 0 });
        daemon
            .targets
            .on_report(now, &service, &"t1".into(), LoadReport { used: 700 });
        let slot = take_slot(&mut daemon, now.0, &mut rng).expect("a free target");
        let latency_ms = if slot.target.as_str() == "t0" { 18 } else { 6 };
        daemon
            .targets
            .observe(now, &slot, Observation::Answered(Millis(latency_ms)));
        daemon.targets.give_back(&slot);
        *slots_taken.entry(slot.target).or_default() += 1;
    }
    // Less than a tenth of the 2000 slots.
    assert!(slots_taken[&"t0".into()] < 200, "{slots_taken:?}");

    let full_limit = daemon.targets.capacity(Millis(60_000), &service).limit;
    daemon.targets.on_report(
        Millis(60_000),
        &service,
        &"t1".into(),
        LoadReport { used: 2000 },
    );
    assert!(daemon.targets.capacity(Millis(60_000), &service).limit < full_limit);
    assert_eq!(
        daemon.targets.capacity(Millis(62_000), &service).limit,
        full_limit
    );
}

/// Guards against ejecting so many targets that the others are overloaded, and against targets that
/// stay ejected forever.
#[test]
fn at_most_half_of_the_targets_of_a_domain_are_ejected() {
    let (mut daemon, service) = daemon_and_service();
    let mut rng = Rng::with_seed(4);
    for i in 0..200 {
        if let Some(slot) = take_slot(&mut daemon, i, &mut rng) {
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

/// Guards against sending the full load to a target that has not warmed up, and against losing the
/// state of the targets when their record changes.
#[test]
fn targets_warm_up_only_once() {
    let (mut daemon, service) = daemon_and_service();
    let limit = |daemon: &ModelDaemon, now| daemon.targets.capacity(Millis(now), &service).limit;
    assert_eq!(
        limit(&daemon, 0),
        4,
        "four targets of the region with one slot each"
    );
    // After the warm-up, four targets with three slots each.
    assert_eq!(limit(&daemon, 5000), 12);

    let mut leaving = [false; TARGETS];
    leaving[0] = true;
    apply_record(
        &mut daemon.config,
        5000,
        900,
        &records::service_record(leaving),
    );
    daemon.targets.sync(Millis(5000), &daemon.config, &service);

    // Three targets remain, still with three slots each.
    assert_eq!(limit(&daemon, 5000), 9);
    let mut rng = Rng::with_seed(5);
    for _ in 0..9 {
        let slot = take_slot(&mut daemon, 5000, &mut rng).expect("a free slot");
        assert_ne!(slot.target.as_str(), "t0", "t0 is leaving");
    }
    assert_eq!(take_slot(&mut daemon, 5000, &mut rng), None);
}

/// Guards against retries that multiply the load of a failing service, and against a budget that is
/// not renewed.
#[test]
fn retries_are_limited_to_a_tenth_and_fewer_under_load() {
    // The load in thousandths, and the allowed retries for 1000 requests.
    for (load_permille, allowed) in [(0, 100), (500, 100), (750, 60), (1000, 20)] {
        let mut budget = RetryBudget::default();
        let service: ServiceId = "s".into();
        for i in 0..1000 {
            budget.record_request(Millis(i), &service);
        }
        let taken = (0..1000)
            .filter(|_| budget.try_take(Millis(1000), &service, load_permille))
            .count();
        assert_eq!(taken, allowed, "load {load_permille}");
        assert!(
            budget.try_take(Millis(20_000), &service, load_permille),
            "budget of a new window"
        );
    }
}

/// Guards against two VMs that prolong a quarantine without end, because each learns the
/// fingerprint from the other again.
#[test]
fn quarantine_ends_although_peers_share_it_with_each_other() {
    let fingerprint = Fingerprint(7);
    let (mut vm_a, mut vm_b) = (Quarantine::default(), Quarantine::default());
    assert!(!vm_a.record_crash(Millis(10), fingerprint, &"t0".into(), Millis(0)));
    // A copy of the request that was broken by the same crash. This does not count again.
    assert!(!vm_a.record_crash(Millis(10), fingerprint, &"t0".into(), Millis(5)));
    assert!(vm_a.record_crash(Millis(10), fingerprint, &"t1".into(), Millis(0)));
    for minute in 0..30 {
        let now = Millis::from_secs(minute * 60) + Millis(10);
        let (from_a, from_b) = (
            vm_a.fingerprints_to_share(now, 10),
            vm_b.fingerprints_to_share(now, 10),
        );
        vm_b.merge_peer(now, &from_a);
        vm_a.merge_peer(now, &from_b);
        assert_eq!(
            vm_a.is_quarantined(now, fingerprint),
            minute < 10,
            "minute {minute}"
        );
        assert_eq!(
            vm_b.is_quarantined(now, fingerprint),
            minute < 10,
            "minute {minute}"
        );
    }
}

/// Guards against running a request again because its idempotency record cannot be parsed, and
/// against idempotency keys that stay blocked after their record was deleted.
#[test]
fn malformed_claim_records_do_not_allow_a_run() {
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
