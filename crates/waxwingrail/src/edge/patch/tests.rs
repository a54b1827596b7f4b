//! Sizes of patches, and the time in which they are sent.

use waxwing_edge::{Datagram, PeerMessage};
use waxwing_records::{CallerLimits, ChangeLog, Deployment, ServiceSpec};
use waxwing_types::{Incarnation, Millis, Revision, StoreEpoch};

use super::super::peers::MAX_DATAGRAM_BYTES;
use super::super::state_age::DATAGRAM_TIME;
use super::super::watch_progress::MAX_LAG;
use super::{MAX_CHANGE_BYTES, MAX_SEND_TIME, MIN_SEND_PAUSE, change_limits};

/// Most bytes of a datagram that arrives in one packet.
const MAX_PACKET_BYTES: usize = 1_472;
/// Bandwidth of a VM with 10 Mbit/s in bytes per ms.
const SLOW_LINK: u64 = 1_250;

fn deployment(version: u64, services: u64) -> Deployment {
    let service = |n: u64| ServiceSpec {
        id: format!("s{n}").as_str().into(),
        health: "/".into(),
        connections: u32::MAX,
        cold_time: Millis(u64::MAX),
        cold_rate: u64::MAX,
    };
    Deployment {
        schema: 1,
        version,
        routes: Vec::new(),
        services: (0..services).map(service).collect(),
        workspaces: None,
        limits: CallerLimits {
            header_bytes: u64::MAX,
            body_bytes: u64::MAX,
            header_time: Millis(u64::MAX),
            idle_time: Millis(u64::MAX),
        },
    }
}

/// Size of the datagram with the greatest patch that takes no more than the limits, of versions that each add services.
fn datagram_bytes(added: u64, limits: (u64, u64)) -> usize {
    let versions: Vec<_> = (1..=20)
        .map(|n| deployment(u64::MAX - 20 + n, n * added))
        .collect();
    let mut log = ChangeLog::default();
    for pair in versions.windows(2) {
        log.record(&pair[0], &pair[1]);
    }
    let latest = versions.last().expect("a version");
    let datagram = Datagram {
        process: Some(Incarnation(u64::MAX)),
        number: Some(u64::MAX),
        message: PeerMessage::DeploymentPatch {
            epoch: Some(StoreEpoch(u64::MAX)),
            revision: Revision(u64::MAX),
            patch: log.patch(latest, limits).expect("a patch"),
        },
    };
    serde_json::to_vec(&datagram).expect("a datagram").len()
}

/// Guards against patches that no VM receives as a whole.
#[test]
fn a_patch_fits_into_a_datagram() {
    for added in [1, 10, 40] {
        let bytes = datagram_bytes(added, (MAX_CHANGE_BYTES, MAX_CHANGE_BYTES));
        assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes");
    }
    let bytes = datagram_bytes(1, change_limits(1));
    assert!(bytes <= MAX_PACKET_BYTES, "{bytes} bytes");
}

/// Guards against a read by a VM whose patch is still to be sent, and against a burst that a slow link drops.
#[test]
fn patches_are_sent_before_the_record_is_read_and_below_the_bandwidth_of_a_link() {
    for vms in [5, 40, 98, 382] {
        let (_, change_bytes) = change_limits(vms);

        let bytes = change_bytes * vms;

        let link_time = Millis(bytes / SLOW_LINK);
        assert!(
            link_time + link_time <= MAX_SEND_TIME,
            "{vms} VMs: {link_time}"
        );
    }
    assert!(MAX_SEND_TIME + MIN_SEND_PAUSE + DATAGRAM_TIME < MAX_LAG);
}
