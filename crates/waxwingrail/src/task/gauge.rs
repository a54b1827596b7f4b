//! Gauges and small periodic work.

use waxwing_types::Millis;

use super::{Context, feed, pause};

const PERIOD: Millis = Millis::from_secs(1);

pub(super) async fn run(ctx: Context) {
    let shared = &ctx.shared;
    let mut was_ready = false;
    loop {
        let ready = shared.is_ready();
        if ready != was_ready {
            log::info!(ready = ready, revision = shared.config().revision().0; "readiness changed");
            was_ready = ready;
        }
        shared.refresh_gauges();
        shared.client.prune();
        let live = {
            let fleet = shared.fleet();
            feed::live(&fleet.members, shared.now())
        };
        shared.ledger().on_members(shared.now(), &live);
        pause(PERIOD).await;
    }
}
