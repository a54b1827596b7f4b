//! Gauges and small periodic work.

use waxwing_types::{Millis, RegionId, Revision};

use super::{Context, feed, pause};
use crate::state::Shared;

const PERIOD: Millis = Millis::from_secs(1);

pub(super) async fn run(ctx: Context) {
    let shared = &ctx.shared;
    let mut was_ready = false;
    let mut checked = Revision::default();
    loop {
        checked = check_region(shared, checked);
        let ready = shared.is_ready();
        if ready != was_ready {
            log::info!(ready = ready, revision = shared.config().revision().0; "readiness changed");
            was_ready = ready;
        }
        shared.update_gauges();
        shared.metrics.condense();
        shared.client.prune();
        let live = {
            let fleet = shared.fleet();
            feed::live(&fleet.members, shared.now())
        };
        shared.rate_limiter().on_live_vms(shared.now(), &live);
        pause(PERIOD).await;
    }
}

/// Warns if the records place this VM's failure domain elsewhere than its settings do. Returns the
/// revision that was looked at.
fn check_region(shared: &Shared, checked: Revision) -> Revision {
    let config = shared.config();
    let settings = &shared.settings;
    let region = config.region_of(&settings.domain);
    if config.revision() > checked && region != Some(&settings.region) {
        let found = region.map_or("none", RegionId::as_str);
        log::warn!(
            domain = settings.domain.as_str(), setting = settings.region.as_str(), records = found;
            "settings and records disagree on the region of the failure domain"
        );
    }
    config.revision()
}
