//! Runs the rate limiter and performs its calls to peers and to the store.

use std::sync::Arc;

use futures_lite::future;
use waxwing_core::{BorrowRequest, OwnersWriteOutcome, RateLimiterAction, RenewRequest};
use waxwing_store::{Condition, ReadOutcome};
use waxwing_types::{DomainId, Millis, Revision, VmId};

use super::discovery::{self, OWNERS_PREFIX};
use super::{PEER_TIMEOUT, TaskContext, pause, record_peer_failure};

/// Time between regular ticks of the rate limiter.
const TICK_PERIOD: Millis = Millis(100);
/// Minimum time between two ticks, also when ticks are requested.
const MIN_TICK_PERIOD: Millis = Millis(5);

pub(super) async fn run(ctx: TaskContext) {
    let shared = Arc::clone(&ctx.shared);
    loop {
        let now = shared.now();
        let actions = shared.rate_limiter().tick(now);
        for action in actions {
            shared
                .executor
                .spawn(perform(ctx.clone(), now, action))
                .detach();
        }
        pause(MIN_TICK_PERIOD).await;
        let requested = async {
            let _ = shared.limiter_tick_requests.1.recv().await;
        };
        future::or(requested, pause(TICK_PERIOD)).await;
    }
}

async fn perform(ctx: TaskContext, sent: Millis, action: RateLimiterAction) {
    match action {
        RateLimiterAction::Borrow { to, request } => borrow(&ctx, sent, to, request).await,
        RateLimiterAction::RenewShardLeases { to, request } => renew(&ctx, sent, to, request).await,
        RateLimiterAction::WriteOwners {
            path,
            value,
            expected_version,
        } => write_owners(&ctx, sent, &path, value, expected_version).await,
        RateLimiterAction::ReadOwners { path } => {
            read_owners(&ctx, &path).await;
        }
    }
}

async fn borrow(ctx: &TaskContext, sent: Millis, to: VmId, request: BorrowRequest) {
    let shared = &ctx.shared;
    let Some(address) = shared.peer_address(&to) else {
        return;
    };
    match ctx.peers.borrow(address, request, PEER_TIMEOUT).await {
        Ok(reply) => {
            let mut rate_limiter = shared.rate_limiter();
            rate_limiter.on_borrow_reply(shared.now(), sent, &to, &reply);
        }
        Err(error) => record_peer_failure(shared, &to, "borrow", &error.to_string()),
    }
}

async fn renew(ctx: &TaskContext, sent: Millis, to: VmId, request: RenewRequest) {
    let shared = &ctx.shared;
    let Some(address) = shared.peer_address(&to) else {
        return;
    };
    match ctx.peers.renew(address, request, PEER_TIMEOUT).await {
        Ok(reply) => {
            let mut rate_limiter = shared.rate_limiter();
            rate_limiter.on_renew_reply(shared.now(), sent, &to, &reply);
        }
        Err(error) => record_peer_failure(shared, &to, "renew", &error.to_string()),
    }
}

async fn write_owners(
    ctx: &TaskContext,
    sent: Millis,
    path: &str,
    value: Vec<u8>,
    expected_version: Option<Revision>,
) {
    let shared = &ctx.shared;
    let condition = expected_version.map_or(Condition::Absent, Condition::Version);
    let timeout = shared.settings.store_timeout;
    let outcome = shared.store.put(path, value, condition, timeout).await;
    let outcome = match outcome {
        waxwing_store::WriteOutcome::Created(version)
        | waxwing_store::WriteOutcome::Updated(version) => {
            log::info!(path = path, version = version.0; "owners of shards written");
            OwnersWriteOutcome::Written(version)
        }
        waxwing_store::WriteOutcome::Conflict(_) | waxwing_store::WriteOutcome::Absent => {
            OwnersWriteOutcome::Conflict
        }
        waxwing_store::WriteOutcome::Rejected { status, message } => {
            log::warn!(path = path, status = status, message = message.as_str(); "the store rejects the table of shard owners");
            OwnersWriteOutcome::Unknown
        }
        waxwing_store::WriteOutcome::Unreachable(reason)
        | waxwing_store::WriteOutcome::Unknown(reason) => {
            shared.metrics.store_failures.increment(1);
            log::debug!(path = path, reason = reason.as_str(); "the table of shard owners cannot be written");
            OwnersWriteOutcome::Unknown
        }
    };
    let mut rate_limiter = shared.rate_limiter();
    rate_limiter.on_owners_write_outcome(shared.now(), sent, outcome);
    drop(rate_limiter);
    shared.request_limiter_tick();
}

/// Reads a table of shard owners from the store and passes it to the rate limiter. Returns whether the
/// store answered.
pub(super) async fn read_owners(ctx: &TaskContext, path: &str) -> bool {
    let shared = &ctx.shared;
    let Some(domain) = path.strip_prefix(OWNERS_PREFIX).map(DomainId::from) else {
        return false;
    };
    match shared.store.get(path, shared.settings.store_timeout).await {
        ReadOutcome::Found(object) => discovery::apply_owners_table(shared, &domain, &object),
        ReadOutcome::Absent => {
            let mut rate_limiter = shared.rate_limiter();
            rate_limiter.on_owners_table_absent(shared.now(), &domain);
        }
        ReadOutcome::Unreachable(reason) => {
            shared.metrics.store_failures.increment(1);
            log::debug!(path = path, reason = reason.as_str(); "the table of shard owners cannot be read");
            return false;
        }
    }
    shared.request_limiter_tick();
    true
}
