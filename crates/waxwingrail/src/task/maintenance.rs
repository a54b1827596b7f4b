//! Periodic maintenance: updates gauges, logs changes of readiness, closes idle connections and tells the
//! rate limiter which VMs are live.

use waxwing_types::{Millis, RegionId, Revision};

use super::{TaskContext, discovery, pause};
use crate::state::Shared;

const PERIOD: Millis = Millis::from_secs(1);

pub(super) async fn run(ctx: TaskContext) {
    let shared = &ctx.shared;
    let mut was_ready = false;
    let mut checked_revision = Revision::default();
    loop {
        checked_revision = check_region(shared, checked_revision);
        let ready = shared.is_ready();
        if ready != was_ready {
            log::info!(ready = ready, revision = shared.config().revision().0; "readiness changed");
            was_ready = ready;
        }
        shared.update_gauges();
        shared.metrics.run_upkeep();
        shared.client.prune();
        let live = {
            let fleet = shared.fleet();
            discovery::live_vms(&fleet.members, shared.now())
        };
        shared.rate_limiter().on_live_vms(shared.now(), &live);
        pause(PERIOD).await;
    }
}

/// Warns if the configuration does not put the failure domain of this VM into the region from the
/// settings. Does not warn if this revision was checked before. Returns the revision of the configuration.
fn check_region(shared: &Shared, checked_revision: Revision) -> Revision {
    let config = shared.config();
    let settings = &shared.settings;
    let region = config.region_of(&settings.domain);
    if config.revision() > checked_revision && region != Some(&settings.region) {
        let region_in_records = region.map_or("none", RegionId::as_str);
        log::warn!(
            domain = settings.domain.as_str(), setting = settings.region.as_str(), records = region_in_records;
            "settings and records disagree on the region of the failure domain"
        );
    }
    config.revision()
}
