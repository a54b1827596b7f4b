//! The status that each failure domain writes to the store.

mod common;

use std::time::Duration;

use async_io::Timer;
use common::run_test;
use waxwing_testkit::TargetSettings;

/// Guards against an idle fleet that writes without end: the status holds a revision of the store,
/// which moves with the status of every other failure domain.
#[test]
fn status_of_one_domain_causes_no_write_by_another() {
    run_test(|mut rig| async move {
        let target = rig.start_target(TargetSettings::default()).await;
        rig.put_base_records(&[("d1", &target)]).await;
        let first = rig.ready_daemon("vm1", "d1", &[]).await;
        let second = rig.ready_daemon("vm2", "d2", &[]).await;
        rig.wait_until_admitted(&first).await;
        for domain in ["d1", "d2"] {
            rig.wait_until("status", async || {
                rig.object_version(&format!("status/{domain}"))
                    .await
                    .is_some()
            })
            .await;
        }
        // Longer than a watch of the store lasts, so that each VM has seen the other's write.
        Timer::after(Duration::from_secs(5)).await;
        let before = rig.store.stats().puts;
        Timer::after(Duration::from_secs(10)).await;
        let writes = rig.store.stats().puts - before;
        assert!(writes <= 2, "{writes} writes in 10 s");
        drop((first, second));
    });
}
