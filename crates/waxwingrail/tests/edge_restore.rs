//! Tests of the edge daemon with a store that comes back from an older copy: what was written since the copy is gone, and
//! revisions are given out again.

#[path = "edge/fixture.rs"]
mod fixture;

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use async_io::Timer;
use fixture::{Fixture, TargetBehavior, deployment, run_test, wait_until};
use waxwing_records::{Deployment, TargetState, VmEntry};
use waxwing_store::{Entry, Family, Freshness};
use waxwing_testkit::RegistryCopy;
use waxwing_types::Incarnation;
use waxwingrail::edge::EdgeDaemon;

/// A deployment that has only the route `safe`.
fn deployment_without_unsafe(version: u64) -> Deployment {
    let mut record = deployment(version);
    record.routes.remove(1);
    record
}

impl Fixture {
    /// Restores the store from a copy and repeats a change of another family until the store has passed its revision of before, so
    /// that a watch from that revision does not show the loss.
    fn restore_and_pass_revision(&self, copy: &RegistryCopy) {
        let before = self.registry.revision();
        self.registry.restore(copy);
        while self.registry.revision() <= before {
            let evacuation = Entry::Evacuation("other".into());
            self.registry.put(Family::Evacuations, "other", evacuation);
        }
    }

    /// Fails if a request to the route `safe` does not end with a status throughout a time.
    async fn expect_status_for(&self, daemon: &EdgeDaemon, status: u16, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let answered = self.call(daemon, "safe").await.status;
            assert_eq!(
                answered,
                status,
                "{:?} before the end",
                until - Instant::now()
            );
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Value of a metric without labels.
    async fn gauge(&self, daemon: &EdgeDaemon, name: &str) -> f64 {
        let (_, metrics) = self.get(daemon.metrics_address(), "/metrics", "").await;
        let prefix = format!("{name} ");
        let value = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
        value.and_then(|value| value.parse().ok()).expect(name)
    }
}

/// Guards against a deployment that is missed because its revision was given out before.
#[test]
fn a_deployment_with_a_revision_given_out_again_is_not_missed() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        let copy = fixture.registry.copy();
        fixture.deploy(deployment_without_unsafe(2));
        wait_until("version 2 is in use", async || {
            fixture.call(&daemon, "unsafe").await.status == 404
        })
        .await;
        let before = fixture.registry.revision();
        fixture.registry.restore(&copy);
        fixture.deploy(deployment(3));
        while fixture.registry.revision() <= before {
            fixture.registry.remove(Family::Evacuations, "other");
        }
        wait_until("version 3 is in use", async || {
            fixture.call(&daemon, "unsafe").await.status == 200
        })
        .await;
    });
}

/// Guards against a target that leaves after a restore and is missed, because the older state of the store is of before the restore.
#[test]
fn a_target_that_leaves_after_a_restore_is_not_missed() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        let copy = fixture.registry.copy();
        fixture.start_target("t2", TargetBehavior::Answer).await;
        fixture.registry.remove(Family::Targets, "t2");
        fixture.registry.set_lag(true);
        let before = fixture.registry.revision();
        fixture.registry.restore(&copy);
        fixture.registry.remove(Family::Targets, "t1");
        while fixture.registry.revision() <= before {
            fixture.registry.remove(Family::Evacuations, "other");
        }
        fixture.wait_until_no_target(&daemon).await;
    });
}

/// Guards against an older or an invalid deployment in use after a restore, and against one written after the restore that is not.
#[test]
fn a_restored_store_does_not_bring_back_an_older_deployment() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        let copy = fixture.registry.copy();
        fixture.deploy(deployment_without_unsafe(3));
        wait_until("version 3 is in use", async || {
            fixture.call(&daemon, "unsafe").await.status == 404
        })
        .await;
        fixture.registry.restore(&copy);
        for _ in 0..50 {
            assert_eq!(fixture.call(&daemon, "unsafe").await.status, 404);
            Timer::after(Duration::from_millis(20)).await;
        }
        let mut invalid = deployment(4);
        invalid.routes[0].attempts = 0;
        fixture.deploy(invalid);
        fixture.deploy(deployment(2));
        for _ in 0..50 {
            assert_eq!(fixture.call(&daemon, "unsafe").await.status, 404);
            Timer::after(Duration::from_millis(20)).await;
        }
        fixture.deploy(deployment(5));
        wait_until("version 5 is in use", async || {
            fixture.call(&daemon, "unsafe").await.status == 200
        })
        .await;
    });
}

/// Guards against requests to a target whose state in the copy is of before its drain.
#[test]
fn a_draining_target_is_not_ready_again_by_a_copy() {
    run_test(async |fixture| {
        let (daemon, target) = fixture.daemon_with_target().await;
        let copy = fixture.registry.copy();
        fixture.register_target("t1", target.address, TargetState::Draining);
        fixture.wait_until_no_target(&daemon).await;
        fixture.registry.restore(&copy);
        let time = Duration::from_secs(3);
        fixture.expect_status_for(&daemon, 503, time).await;
    });
}

/// Guards against requests to a target that has left and is in the copy.
#[test]
fn a_target_that_left_is_not_back_by_a_copy() {
    run_test(async |fixture| {
        let (daemon, target) = fixture.daemon_with_target().await;
        let copy = fixture.registry.copy();
        fixture.registry.remove(Family::Targets, "t1");
        fixture.wait_until_no_target(&daemon).await;
        fixture.registry.restore(&copy);
        let time = Duration::from_secs(3);
        fixture.expect_status_for(&daemon, 503, time).await;
        // What the target writes after the restore counts.
        fixture.register_target("t1", target.address, TargetState::Ready);
        wait_until("the target is used", async || {
            fixture.call(&daemon, "safe").await.status == 200
        })
        .await;
    });
}

/// Guards against dropping a target that the copy lacks before the target can register again, and against keeping one that does
/// not.
#[test]
fn a_target_missing_in_a_copy_has_time_to_register_again() {
    run_test(async |fixture| {
        fixture.deploy(deployment(1));
        let copy = fixture.registry.copy();
        let target = fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        fixture.restore_and_pass_revision(&copy);
        let time = Duration::from_millis(1500);
        fixture.expect_status_for(&daemon, 200, time).await;
        fixture.register_target("t1", target.address, TargetState::Ready);
        let time = Duration::from_millis(1500);
        fixture.expect_status_for(&daemon, 200, time).await;
        fixture.restore_and_pass_revision(&copy);
        fixture.wait_until_no_target(&daemon).await;
    });
}

/// Guards against requests to an evacuated failure domain whose evacuation the copy lacks, and against an evacuation that never ends.
#[test]
fn an_evacuation_missing_in_a_copy_holds_until_it_can_be_written_again() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        let copy = fixture.registry.copy();
        let evacuation = Entry::Evacuation("a".into());
        fixture
            .registry
            .put(Family::Evacuations, "a", evacuation.clone());
        fixture.wait_until_no_target(&daemon).await;
        fixture.registry.restore(&copy);
        let time = Duration::from_millis(1500);
        fixture.expect_status_for(&daemon, 503, time).await;
        fixture.registry.put(Family::Evacuations, "a", evacuation);
        let time = Duration::from_secs(4);
        fixture.expect_status_for(&daemon, 503, time).await;
        fixture.registry.restore(&copy);
        wait_until("the evacuation has ended", async || {
            fixture.call(&daemon, "safe").await.status == 200
        })
        .await;
    });
}

/// Guards against a VM whose entry a copy lacks and that does not register again, because no list shows the loss: the known revision
/// was given out again, and the older state of the store is of before the restore.
#[test]
fn a_vm_whose_entry_a_copy_lacks_registers_again() {
    for lags in [false, true] {
        run_test(async |fixture| {
            fixture.deploy(deployment(1));
            fixture.start_target("t1", TargetBehavior::Answer).await;
            let copy = fixture.registry.copy();
            let _daemon = fixture.ready_daemon().await;
            wait_until("the VM has read its entry", async || {
                fixture.registry.watches(Family::Vms).len() > 1
            })
            .await;
            fixture.registry.set_lag(lags);
            fixture.restore_and_pass_revision(&copy);
            wait_until("the VM is registered again", async || {
                fixture.registry.contains(Family::Vms, "v1")
            })
            .await;
        });
    }
}

/// Guards against quota shares that grow because the entry of another VM is missing while the VM runs, and against a VM that stays
/// known without an entry and heartbeats.
#[test]
fn a_vm_whose_entry_a_copy_lacks_stays_known_while_it_sends_heartbeats() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        let peer = fixture.peer_address("v1").await;
        let copy = fixture.registry.copy();
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let other = VmEntry {
            id: "v2".into(),
            domain: "a".into(),
            region: "r1".into(),
            client: "127.0.0.1:1".parse().expect("an address"),
            peer: socket.local_addr().expect("an address"),
            incarnation: Incarnation(1),
        };
        fixture.registry.put(Family::Vms, "v2", Entry::Vm(other));
        let known_vms = async || fixture.gauge(&daemon, "waxwing_edge_vms").await;
        wait_until("both VMs are known", async || known_vms().await > 1.5).await;
        fixture.registry.restore(&copy);
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let beat = br#"{"t":"beat","vm":"v2","incarnation":1,"ready":true}"#;
            socket.send_to(beat, peer).expect("a datagram");
            assert!(
                known_vms().await > 1.5,
                "{:?} before the end",
                until - Instant::now()
            );
            Timer::after(Duration::from_millis(50)).await;
        }
        wait_until("the other VM is forgotten", async || {
            known_vms().await < 1.5
        })
        .await;
    });
}

/// Guards against a VM that learns of a restore only with its next call to the store, although another VM has reported it.
#[test]
fn a_report_of_a_later_epoch_makes_a_vm_read_the_store() {
    run_test(async |fixture| {
        let (_daemon, _target) = fixture.daemon_with_target().await;
        let peer = fixture.peer_address("v1").await;
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let report = br#"{"t":"news","seen":[0,0,0,0],"epoch":1}"#;
        wait_until("the latest state is read", async || {
            socket.send_to(report, peer).expect("a datagram");
            let deployment_reads = fixture.registry.lists(Family::Deployment).len();
            fixture.registry.catch_ups(Family::Evacuations) > 0 && deployment_reads > 1
        })
        .await;
        assert_eq!(
            fixture.registry.lists(Family::Evacuations),
            [Freshness::Latest]
        );
    });
}
