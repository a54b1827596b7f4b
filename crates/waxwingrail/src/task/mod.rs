//! The work that a daemon does besides requests.

mod answer;
mod feed;
mod gauge;
mod load;
mod pull;
mod quota;
mod status;

use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use waxwing_peer::Peers;
use waxwing_types::{Millis, VmId};

use crate::state::Shared;

pub(crate) use answer::Answers;

/// Time for a call to a peer, a new connection over 55 ms one way included.
const PEER_TIME: Millis = Millis::from_secs(1);

/// What the tasks work with.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<dyn Peers>,
}

/// Starts all tasks. Dropping them ends the work.
pub(crate) fn start(ctx: &Context) -> Vec<Task<()>> {
    let executor = &ctx.shared.executor;
    vec![
        executor.spawn(feed::list_vms(ctx.clone())),
        executor.spawn(feed::watch_owners(ctx.clone())),
        executor.spawn(feed::find_owners(ctx.clone())),
        executor.spawn(pull::run(ctx.clone())),
        executor.spawn(quota::run(ctx.clone())),
        executor.spawn(load::run(ctx.clone())),
        executor.spawn(status::run(ctx.clone())),
        executor.spawn(gauge::run(ctx.clone())),
    ]
}

/// Notes that a call to a peer failed.
fn peer_failed(shared: &Shared, to: &VmId, call: &str, error: &str) {
    shared.metrics.peer_failures.increment(1);
    log::debug!(to = to.as_str(), call = call, error = error; "call to a peer failed");
}

async fn pause(span: Millis) {
    Timer::after(Duration::from_millis(span.0)).await;
}
