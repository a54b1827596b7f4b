//! The periodic work of the daemon.

use std::sync::Arc;

use async_io::Timer;
use waxwing_types::Millis;

use super::state::Shared;
use super::{apply, peers, watch};

/// Period of the work in [`run_ticks`], such as the exchange of quota tokens and the adjustment of the region
/// split. The region split is the distribution of the requests for a service over the regions.
pub(super) const TICK_PERIOD: Millis = Millis(250);
/// Number of ticks between two cleanups of the metrics and of the idle connections to targets.
const UPKEEP_TICKS: u64 = 20;

/// Does the periodic work until the task is cancelled.
pub(crate) async fn run_ticks(shared: Arc<Shared>) {
    let mut ticks = 0_u64;
    loop {
        Timer::after(TICK_PERIOD.duration()).await;
        ticks += 1;
        if ticks.is_multiple_of(UPKEEP_TICKS) {
            shared.metrics.run_upkeep();
            shared.client.prune();
            shared.quarantine().drop_expired(shared.now());
        }
        let now = shared.now();
        shared.targets().tick(now);
        apply::apply_due_changes(&shared, now);
        watch::interrupt_outdated_watches(&shared, now);
        watch::log_state_ages(&shared, now);
        peers::exchange_tokens(&shared, now);
    }
}
