//! Tests of the sizes of datagrams.

use waxwing_edge::{
    Datagram, LoadReport, PeerMessage, Selection, StateReport, TargetAlert, TargetCriteria,
    TargetOutcome, TargetPool, Topology,
};
use waxwing_records::{Registration, TargetState};
use waxwing_types::{Incarnation, Millis, RegionId, Revision, ServiceId, StoreEpoch};

use super::super::alerts::MAX_ALERTS;
use super::MAX_OBSERVATIONS;

/// Most bytes of a datagram that arrives in one packet.
const MAX_PACKET_BYTES: usize = 1200;
const NOW: Millis = Millis(10_000);
/// More requests than an observation counts, half of them answered and half of them failed.
const REQUESTS: usize = 2200;

/// A pool with a target, at which many slow requests failed, and which reported an extreme load.
fn pool_with_extreme_target() -> TargetPool {
    let topology = Topology {
        own_domain: "a".into(),
        own_region: "r".into(),
        domain_regions: vec![("a".into(), "r".into())],
    };
    let mut pool = TargetPool::new("vm", topology);
    pool.upsert(
        NOW,
        Registration {
            id: "t".into(),
            incarnation: Incarnation(1),
            service: "s".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: "a".into(),
            slots: u32::MAX,
            state: TargetState::Ready,
            cold_left: Millis::ZERO,
        },
    );
    let service = ServiceId::from("s");
    let region_allowed = |_: &RegionId| true;
    for i in 0..REQUESTS {
        let criteria = TargetCriteria {
            service: &service,
            affinity_hash: None,
            large_body: false,
            region_allowed: &region_allowed,
            tried: &[],
            time_left: Millis(1000),
            latency_objective: Millis(1000),
            priority: (0, 0),
        };
        let selection = pool.select(NOW, &criteria, &mut fastrand::Rng::with_seed(1));
        let Selection::Selected(key, _) = selection else {
            panic!("{selection:?}");
        };
        let report = LoadReport {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: u32::MAX,
        };
        pool.on_load_report(NOW, key, report);
        let outcome = TargetOutcome::Answered {
            latency: Millis::from_secs(100),
            success: i % 2 == 0,
        };
        pool.on_request_end(NOW, key, outcome);
    }
    pool
}

/// Guards against a heartbeat that is longer than what other VMs receive, so that they take its sender for dead.
#[test]
fn a_heartbeat_with_extreme_observations_fits_into_a_datagram() {
    let mut pool = pool_with_extreme_target();
    let later = NOW + Millis(1400);
    let mut targets = pool.take_observations(later, MAX_OBSERVATIONS);
    assert_eq!(targets.len(), 1);
    targets[0].process = u32::MAX;
    let heartbeat = PeerMessage::Heartbeat {
        vm: "front-a-failure-domain-with-a-long-name-100".into(),
        incarnation: Incarnation(9_999_999_999_999),
        ready: false,
        targets: vec![targets[0]; MAX_OBSERVATIONS],
    };
    let datagram = Datagram {
        process: Some(Incarnation(9_999_999_999_999)),
        number: Some(9_999_999),
        message: heartbeat,
    };
    let bytes = serde_json::to_vec(&datagram).expect("a datagram");
    assert!(bytes.len() <= MAX_PACKET_BYTES, "{} bytes", bytes.len());
    let received: Datagram = serde_json::from_slice(&bytes).expect("a heartbeat");
    assert_eq!(received, datagram);
}

/// Guards against alerts that are longer than what other VMs receive.
#[test]
fn alerts_fit_into_a_datagram() {
    let alert = TargetAlert {
        process: u32::MAX,
        cold_left: Some(Millis::from_secs(86_400)),
    };
    let datagram = Datagram {
        process: Some(Incarnation(9_999_999_999_999)),
        number: Some(9_999_999),
        message: PeerMessage::TargetAlerts {
            alerts: vec![alert; MAX_ALERTS],
        },
    };

    let bytes = serde_json::to_vec(&datagram).expect("a datagram");

    assert!(bytes.len() <= MAX_PACKET_BYTES, "{} bytes", bytes.len());
    let received: Datagram = serde_json::from_slice(&bytes).expect("alerts");
    assert_eq!(received, datagram);
}

/// Guards against a heartbeat of an older version, without observations, that is not understood.
#[test]
fn a_heartbeat_without_observations_is_understood() {
    let text = r#"{"t":"beat","vm":"v1","incarnation":1,"ready":true}"#;
    let received: PeerMessage = serde_json::from_str(text).expect("a heartbeat");
    let expected = PeerMessage::Heartbeat {
        vm: "v1".into(),
        incarnation: Incarnation(1),
        ready: true,
        targets: Vec::new(),
    };
    assert_eq!(received, expected);
    assert_eq!(serde_json::to_string(&received).expect("JSON"), text);
}

/// Guards against a VM that cannot read the reports of an older or a newer daemon: only newer ones state the epoch, floors and ages.
#[test]
fn reports_of_other_versions_are_read() {
    let ages = vec![Some(Millis(120)), None, Some(Millis::ZERO), None];
    let versions = [
        (r#"{"t":"news","seen":[4,0,7,2]}"#, None, vec![], vec![]),
        (
            r#"{"t":"news","seen":[4,0,7,2],"epoch":3}"#,
            Some(StoreEpoch(3)),
            vec![],
            vec![],
        ),
        (
            r#"{"t":"news","seen":[4,0,7,2],"epoch":3,"floors":[1,2,3,4],"ages":[120,null,0,null]}"#,
            Some(StoreEpoch(3)),
            [1, 2, 3, 4].map(Revision).to_vec(),
            ages,
        ),
    ];
    for (text, epoch, floors, ages) in versions {
        let received: PeerMessage = serde_json::from_str(text).expect("a report");
        let expected = PeerMessage::StateReport(StateReport {
            revisions: [4, 0, 7, 2].map(Revision).to_vec(),
            epoch,
            floors,
            ages,
        });
        assert_eq!(received, expected);
        assert_eq!(serde_json::to_string(&expected).expect("JSON"), text);
    }
}

/// Guards against a datagram of another version that is not understood.
#[test]
fn datagrams_of_other_versions_are_read() {
    let numbered = r#"{"from":1,"n":7,"t":"quota","give":[],"ask":[],"urgent":false}"#;
    let unnumbered = r#"{"t":"quota","give":[],"ask":[],"urgent":false}"#;
    let read: Datagram = serde_json::from_str(numbered).expect("a datagram");
    let message = PeerMessage::Quota {
        granted: Vec::new(),
        requested: Vec::new(),
        urgent: false,
    };
    let expected = Datagram {
        process: Some(Incarnation(1)),
        number: Some(7),
        message,
    };
    assert_eq!(read, expected);
    assert_eq!(serde_json::to_string(&read).expect("JSON"), numbered);
    let read: Datagram = serde_json::from_str(unnumbered).expect("a datagram");
    assert_eq!((read.process, read.number), (None, None));
    let message: PeerMessage = serde_json::from_str(numbered).expect("a message");
    assert_eq!(message, read.message);
}
