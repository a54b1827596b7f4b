//! Background tasks of the daemon, and the answers to calls of other daemons.

mod config_sync;
mod discovery;
mod domain_status;
mod load_report;
mod maintenance;
mod peer_handler;
mod rate_limiter;

use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use waxwing_peer::Peers;
use waxwing_types::{Millis, VmId};

use crate::state::Shared;

pub(crate) use peer_handler::PeerRequestHandler;

/// Timeout for a call to a peer. It leaves enough time to open a connection to the peer first, even at a
/// one-way network latency of 55 ms.
const PEER_TIMEOUT: Millis = Millis::from_secs(1);

/// State of this daemon and connections to peers, for the background tasks.
#[derive(Clone)]
pub(crate) struct TaskContext {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<dyn Peers>,
}

/// Starts the background tasks. Dropping a returned task stops it.
pub(crate) fn start(ctx: &TaskContext) -> Vec<Task<()>> {
    let executor = &ctx.shared.executor;
    vec![
        executor.spawn(discovery::refresh_vm_list(ctx.clone())),
        // An owners table names the VM that owns each shard of the rate limits of a failure domain.
        executor.spawn(discovery::watch_owners_tables(ctx.clone())),
        executor.spawn(discovery::read_missing_owners_tables(ctx.clone())),
        executor.spawn(config_sync::run(ctx.clone())),
        executor.spawn(rate_limiter::run(ctx.clone())),
        executor.spawn(load_report::run(ctx.clone())),
        executor.spawn(domain_status::run(ctx.clone())),
        executor.spawn(maintenance::run(ctx.clone())),
    ]
}

/// Counts and logs a failed call to a peer.
fn record_peer_failure(shared: &Shared, to: &VmId, call: &str, error: &str) {
    shared.metrics.peer_failures.increment(1);
    log::debug!(to = to.as_str(), call = call, error = error; "call to a peer failed");
}

async fn pause(duration: Millis) {
    Timer::after(Duration::from_millis(duration.0)).await;
}
