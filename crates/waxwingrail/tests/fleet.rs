//! Several daemons that call each other.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::{TestEnv, add_headers, authed, run_test, text_body};
use hyper::{Request, StatusCode};
use waxwing_http::{collect, empty};
use waxwing_testkit::{Target, TargetSettings};
use waxwingrail::Daemon;

async fn target(rig: &TestEnv) -> Target {
    rig.start_target(TargetSettings {
        slots: 64,
        ..TargetSettings::default()
    })
    .await
}

/// The status of a request on a public route or with the key of `acme`.
async fn status(rig: &TestEnv, at: SocketAddr, path: &str) -> StatusCode {
    let response = rig.send(at, authed("GET", path, empty())).await;
    let status = response.status();
    collect(response.into_body(), 10_000).await.unwrap();
    status
}

/// Guards against a VM that is not the owner of a limit and admits nothing, and against a withdrawn
/// key that works on a VM which does not watch the store.
#[test]
fn three_vms_share_quota_and_configuration() {
    run_test(|mut rig| async move {
        let target = target(&rig).await;
        rig.put_base_records(&[("d1", &target)]).await;
        let mut daemons = Vec::new();
        for vm in ["vm1", "vm2", "vm3"] {
            daemons.push(rig.ready_daemon(vm, "d1", &[]).await);
        }
        for daemon in &daemons {
            rig.wait_until_admitted(daemon).await;
        }
        rig.withdraw_record("key", "acme1").await;
        for daemon in &daemons {
            let at = daemon.addresses().callers;
            rig.wait_until("refused", async || {
                status(&rig, at, "/v1/svc/shop/x").await == StatusCode::UNAUTHORIZED
            })
            .await;
        }
    });
}

/// Guards against a workspace whose rate counts for each VM anew.
#[test]
fn rate_counts_over_all_vms() {
    run_test(|mut rig| async move {
        let target = target(&rig).await;
        rig.put_base_records(&[("d1", &target)]).await;
        rig.put_workspace("small", 10, "small1", "small1.secret")
            .await;
        let first = rig.ready_daemon("vm1", "d1", &[]).await;
        let second = rig.ready_daemon("vm2", "d1", &[]).await;
        rig.wait_until_admitted(&first).await;
        rig.wait_until_admitted(&second).await;
        let addresses = [first.addresses().callers, second.addresses().callers];
        let begun = Instant::now();
        let ran = || {
            target
                .runs()
                .runs
                .iter()
                .filter(|r| r.path.contains("small"))
                .count()
        };
        let mut refused = 0;
        for i in 0..200 {
            let request = Request::get("/v1/svc/shop/small");
            let request = request.header("authorization", "Bearer small1.secret");
            let request = request.body(empty()).unwrap();
            let response = rig.send(addresses[i % 2], request).await;
            refused += u32::from(response.status() == StatusCode::TOO_MANY_REQUESTS);
            collect(response.into_body(), 10_000).await.unwrap();
        }
        let most = 10 + 10 * begun.elapsed().as_millis() / 1000 + 1;
        assert!(refused > 0, "nothing was refused");
        assert!(ran() as u128 <= most, "{} ran, {most} allowed", ran());
    });
}

/// Guards against work for another region that is lost, shows the key, or loses the workspace.
#[test]
fn request_is_forwarded_to_the_region_that_has_targets() {
    run_test(|mut rig| async move {
        let target = target(&rig).await;
        rig.put_base_records(&[("d2", &target)]).await;
        let near = rig.ready_daemon("vm1", "d1", &[]).await;
        let far = rig.ready_daemon("vm2", "d2", &[]).await;
        rig.wait_until_admitted(&near).await;
        let at = near.addresses().callers;
        let before = rig.metric(&near, "waxwing_forwards_total").await;
        let request = authed("PUT", "/v1/svc/shop/items/7?x=1", text_body("hello"));
        let request = add_headers(request, &[("x-kept", "yes")]);
        let response = rig.send(at, request).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert!(rig.metric(&near, "waxwing_forwards_total").await > before);
        let run = target.runs().runs.pop().unwrap();
        assert_eq!((run.path.as_str(), run.body_bytes), ("/items/7?x=1", 5));
        assert_eq!(run.headers["x-workspace"], "acme");
        assert_eq!(run.headers["x-kept"], "yes");
        for hidden in [
            "authorization",
            "x-key-id",
            "x-key-hash",
            "x-from-region",
            "x-client",
        ] {
            assert!(!run.headers.contains_key(hidden), "{hidden}");
        }
        // The peer HTTP address takes no workspace on trust.
        let forged = add_headers(
            Request::get("/v1/svc/shop/x").body(empty()).unwrap(),
            &[("x-workspace", "acme"), ("x-from-region", "r1")],
        );
        let response = rig.send(far.addresses().peer_http, forged).await;
        assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    });
}

async fn keeps_admitting(rig: &TestEnv, daemon: &Daemon) {
    let at = daemon.addresses().callers;
    for _ in 0..2 {
        rig.wait_until("admission by the successor", async || {
            let shards = rig.metric(daemon, "waxwing_shards_owned").await;
            shards > 7.5 && status(rig, at, "/v1/svc/shop/x").await == StatusCode::OK
        })
        .await;
    }
}

/// Guards against a planned stop after which a limit has no owner.
#[test]
fn successor_admits_after_a_stop() {
    run_test(|mut rig| async move {
        let target = target(&rig).await;
        rig.put_base_records(&[("d1", &target)]).await;
        let first = rig.ready_daemon("vm1", "d1", &[]).await;
        let second = rig.ready_daemon("vm2", "d1", &[]).await;
        rig.wait_until_admitted(&first).await;
        rig.wait_until_admitted(&second).await;
        assert!(first.stop().await);
        keeps_admitting(&rig, &second).await;
    });
}

/// Guards against a killed owner whose shards nobody takes over.
#[test]
fn standby_takes_over_from_a_killed_owner() {
    run_test(|mut rig| async move {
        let target = target(&rig).await;
        rig.put_base_records(&[("d1", &target)]).await;
        let first = rig.ready_daemon("vm1", "d1", &[]).await;
        let second = rig.ready_daemon("vm2", "d1", &[]).await;
        rig.wait_until_admitted(&first).await;
        rig.wait_until_admitted(&second).await;
        // An owner that dies before it has named a standby leaves an orphaned shard.
        rig.wait_until("standbys", async || {
            let table = rig.owners_table("d1").await;
            table
                .shards
                .iter()
                .all(|s| s.owner.is_some() && s.standby.is_some())
        })
        .await;
        drop(first);
        keeps_admitting(&rig, &second).await;
    });
}

/// Guards against a status or a table of owners that is written again for each write of others to the
/// store, its own included: with many domains the writes would never end.
#[test]
fn writes_of_others_lead_to_no_write() {
    run_test(|mut rig| async move {
        let target = target(&rig).await;
        rig.put_base_records(&[("d1", &target)]).await;
        let daemon = rig.ready_daemon("vm1", "d1", &[]).await;
        rig.wait_until_admitted(&daemon).await;
        rig.wait_until("status", async || {
            rig.object_version("status/d1").await.is_some()
        })
        .await;
        let before = rig.object_version("status/d1").await;
        let owners = rig.object_version("owners/d1").await;
        for i in 0..3 {
            let path = format!("claims/{i}");
            rig.put_object(&path, &serde_json::json!({})).await;
            let written = rig.object_version(&path).await.unwrap();
            let admin = daemon.addresses().admin;
            rig.wait_until("the revision in force", async || {
                let status = rig.text(admin, "/v1/status").await;
                let status: serde_json::Value = serde_json::from_str(&status).unwrap();
                status["revision"].as_u64() >= Some(written)
            })
            .await;
        }
        assert_eq!(rig.object_version("status/d1").await, before);
        assert_eq!(rig.object_version("owners/d1").await, owners);
        rig.withdraw_record("key", "acme1").await;
        rig.wait_until("a new status", async || {
            rig.object_version("status/d1").await > before
        })
        .await;
    });
}
