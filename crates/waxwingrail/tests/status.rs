//! Tests of the status that each failure domain writes to the store.

mod common;

use std::time::Duration;

use async_io::Timer;
use common::run_test;
use waxwing_testkit::TargetSettings;

/// Guards against endless writes by an idle fleet: a status holds the store revision, which rises with
/// each write of a status by another failure domain.
#[test]
fn status_of_one_domain_causes_no_write_by_another() {
    run_test(|mut env| async move {
        let target = env.start_target(TargetSettings::default()).await;
        env.put_default_records(&[("d1", &target)]).await;
        let first = env.ready_daemon("vm1", "d1", &[]).await;
        let second = env.ready_daemon("vm2", "d2", &[]).await;
        env.wait_until_admitting(&first).await;
        for domain in ["d1", "d2"] {
            env.wait_until("status", async || {
                env.object_version(&format!("status/{domain}"))
                    .await
                    .is_some()
            })
            .await;
        }
        // The wait is longer than a watch of the store, so that each VM has seen the write of the other.
        Timer::after(Duration::from_secs(5)).await;
        let puts_before = env.store.stats().puts;
        Timer::after(Duration::from_secs(10)).await;
        let writes = env.store.stats().puts - puts_before;
        assert!(writes <= 2, "{writes} writes in 10 s");
        drop((first, second));
    });
}
