//! Tests of the quota coordinator that a VM chooses while it stops.

use waxwing_edge::{Fleet, QuotaCoordinator};
use waxwing_records::VmEntry;
use waxwing_types::{Incarnation, Millis, WorkspaceId};

const NOW: Millis = Millis(10_000);

fn vm(id: &str, domain: &str) -> VmEntry {
    let number = u16::from(id.as_bytes()[1]);
    VmEntry {
        id: id.into(),
        domain: domain.into(),
        region: "r".into(),
        client: ([127, 0, 0, 1], 1000 + number).into(),
        peer: ([127, 0, 0, 1], 2000 + number).into(),
        incarnation: Incarnation(1),
    }
}

/// The fleet as the VM `own` knows it: all VMs have registered, and those of its failure domain send heartbeats.
fn fleet(own: &str, vms: &[VmEntry]) -> Fleet {
    let entry = vms.iter().find(|vm| vm.id.as_str() == own);
    let mut fleet = Fleet::new(entry.expect("an entry").clone());
    for vm in vms {
        fleet.upsert(Millis::ZERO, vm.clone());
        fleet.on_heartbeat(NOW, &vm.id, vm.incarnation, true);
    }
    fleet
}

/// Workspaces of all shards.
fn workspaces() -> impl Iterator<Item = WorkspaceId> {
    (0..32).map(|i| format!("w{i}").as_str().into())
}

/// Guards against two quota coordinators: a VM that stops refills the shares of its failure domain beside the coordinator that
/// the others have chosen. Its coordinator is the one of the others.
#[test]
fn a_stopping_vm_has_the_coordinator_of_the_others() {
    let vms = [vm("v1", "a"), vm("v2", "a"), vm("v3", "a")];
    let mut stopping = fleet("v1", &vms);
    let mut other = fleet("v2", &vms);
    let was_local = workspaces()
        .map(|w| stopping.quota_coordinator(NOW, &w))
        .filter(|c| matches!(c, QuotaCoordinator::Local { .. }));
    assert!(was_local.count() > 0);

    other.on_heartbeat(NOW, &"v1".into(), Incarnation(1), false);
    stopping.begin_stop();

    for workspace in workspaces() {
        let expected = match other.quota_coordinator(NOW, &workspace) {
            QuotaCoordinator::Local { share_count } => {
                assert_eq!(share_count, 2);
                QuotaCoordinator::Remote(vms[1].peer)
            }
            remote @ QuotaCoordinator::Remote(_) => remote,
        };
        assert_eq!(stopping.quota_coordinator(NOW, &workspace), expected);
    }
}

/// Guards against tokens that are lost with the last VM of a failure domain, and against a share that it refills beside the
/// VMs of other failure domains.
#[test]
fn the_last_vm_of_a_domain_hands_over_to_another_domain() {
    let vms = [vm("v1", "a"), vm("v2", "a"), vm("v3", "b")];
    let mut stopping = fleet("v1", &vms);
    stopping.on_heartbeat(NOW, &"v2".into(), Incarnation(1), false);

    stopping.begin_stop();

    for workspace in workspaces() {
        let coordinator = stopping.quota_coordinator(NOW, &workspace);
        assert_eq!(coordinator, QuotaCoordinator::Remote(vms[2].peer));
    }
}

/// Guards against VMs that stop at the same time and each take the whole rate, because the entries of the others are gone.
#[test]
fn vms_that_stop_together_refill_nothing() {
    let vms = [vm("v1", "a"), vm("v2", "a"), vm("v3", "b")];
    for own in &vms {
        let mut stopping = fleet(own.id.as_str(), &vms);

        stopping.begin_stop();
        for other in vms.iter().filter(|vm| vm.id != own.id) {
            stopping.remove(&other.id);
        }

        for workspace in workspaces() {
            let coordinator = stopping.quota_coordinator(NOW, &workspace);
            assert_eq!(coordinator, QuotaCoordinator::Local { share_count: 0 });
        }
    }
}

/// Guards against a stop of the only VM in which all requests are refused, and against a share that it refills when another VM
/// has joined, or has joined and stops too.
#[test]
fn the_only_vm_keeps_its_share_until_another_joins() {
    let only = vm("v1", "a");
    let mut stopping = fleet("v1", std::slice::from_ref(&only));
    let workspace = WorkspaceId::from("w");

    stopping.begin_stop();
    let alone = stopping.quota_coordinator(NOW, &workspace);
    stopping.upsert(NOW, vm("v2", "a"));
    let joined = stopping.quota_coordinator(NOW, &workspace);
    stopping.remove(&"v2".into());
    let left = stopping.quota_coordinator(NOW, &workspace);

    assert_eq!(alone, QuotaCoordinator::Local { share_count: 1 });
    assert_eq!(joined, QuotaCoordinator::Remote(vm("v2", "a").peer));
    assert_eq!(left, QuotaCoordinator::Local { share_count: 0 });
}

/// Guards against a VM that starts again before the others have read its new entry and refills their shares: the list that it
/// starts from may be so old that it still holds the entry that was withdrawn.
#[test]
fn a_vm_whose_entry_is_removed_counts_only_vms_that_send_heartbeats() {
    let own = VmEntry {
        incarnation: Incarnation(100_000),
        ..vm("v1", "a")
    };
    let others = [vm("v2", "a"), vm("v3", "a")];
    let mut fleet = Fleet::new(own);
    fleet.retain_listed(&["v1".into(), "v2".into(), "v3".into()]);
    for entry in [vm("v1", "a")].into_iter().chain(others) {
        fleet.upsert(NOW, entry);
    }

    fleet.remove(&"v1".into());

    for workspace in workspaces() {
        let coordinator = fleet.quota_coordinator(NOW, &workspace);
        // The VM has been running for longer than it takes to join.
        assert_eq!(coordinator, QuotaCoordinator::Local { share_count: 1 });
    }
}
