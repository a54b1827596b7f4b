//! The calls of the ledger to peers and to the store.

use std::sync::Arc;

use futures_lite::future;
use waxwing_core::{BorrowRequest, OwnersWriteOutcome, RateLimiterAction, RenewRequest};
use waxwing_store::{Condition, ReadOutcome};
use waxwing_types::{DomainId, Millis, Revision, VmId};

use super::feed::{self, OWNERS};
use super::{Context, PEER_TIME, pause, peer_failed};

/// Time between regular ticks.
const TICK: Millis = Millis(100);
/// Least time between two ticks.
const LEAST_TICK: Millis = Millis(5);

pub(super) async fn run(ctx: Context) {
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
        pause(LEAST_TICK).await;
        let nudged = async {
            let _ = shared.limiter_tick_requests.1.recv().await;
        };
        future::or(nudged, pause(TICK)).await;
    }
}

async fn perform(ctx: Context, sent: Millis, action: RateLimiterAction) {
    match action {
        RateLimiterAction::Borrow { to, request } => borrow(&ctx, sent, to, request).await,
        RateLimiterAction::Renew { to, request } => renew(&ctx, sent, to, request).await,
        RateLimiterAction::WriteOwners {
            path,
            value,
            expected_version,
        } => write(&ctx, sent, &path, value, expected_version).await,
        RateLimiterAction::ReadOwners { path } => {
            read(&ctx, &path).await;
        }
    }
}

async fn borrow(ctx: &Context, sent: Millis, to: VmId, request: BorrowRequest) {
    let shared = &ctx.shared;
    let Some(address) = shared.peer_address(&to) else {
        return;
    };
    match ctx.peers.borrow(address, request, PEER_TIME).await {
        Ok(reply) => {
            let mut ledger = shared.rate_limiter();
            ledger.on_borrow_reply(shared.now(), sent, &to, &reply);
        }
        Err(error) => peer_failed(shared, &to, "borrow", &error.to_string()),
    }
}

async fn renew(ctx: &Context, sent: Millis, to: VmId, request: RenewRequest) {
    let shared = &ctx.shared;
    let Some(address) = shared.peer_address(&to) else {
        return;
    };
    match ctx.peers.renew(address, request, PEER_TIME).await {
        Ok(reply) => {
            let mut ledger = shared.rate_limiter();
            ledger.on_renew_reply(shared.now(), sent, &to, &reply);
        }
        Err(error) => peer_failed(shared, &to, "renew", &error.to_string()),
    }
}

async fn write(
    ctx: &Context,
    sent: Millis,
    path: &str,
    value: Vec<u8>,
    expected: Option<Revision>,
) {
    let shared = &ctx.shared;
    let condition = expected.map_or(Condition::Absent, Condition::Version);
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
            log::warn!(path = path, status = status, message = message.as_str(); "store rejects the owners");
            OwnersWriteOutcome::Unknown
        }
        waxwing_store::WriteOutcome::Unreachable(reason)
        | waxwing_store::WriteOutcome::Unknown(reason) => {
            shared.metrics.store_failures.increment(1);
            log::debug!(path = path, reason = reason.as_str(); "owners cannot be written");
            OwnersWriteOutcome::Unknown
        }
    };
    let mut ledger = shared.rate_limiter();
    ledger.on_owners_write_outcome(shared.now(), sent, outcome);
    drop(ledger);
    shared.request_limiter_tick();
}

/// Reads a table of owners. Returns whether the store answered.
pub(super) async fn read(ctx: &Context, path: &str) -> bool {
    let shared = &ctx.shared;
    let Some(domain) = path.strip_prefix(OWNERS).map(DomainId::from) else {
        return false;
    };
    match shared.store.get(path, shared.settings.store_timeout).await {
        ReadOutcome::Found(object) => feed::adopt_owners(shared, &domain, &object),
        ReadOutcome::Absent => {
            let mut ledger = shared.rate_limiter();
            ledger.on_owners_table_absent(shared.now(), &domain);
        }
        ReadOutcome::Unreachable(reason) => {
            shared.metrics.store_failures.increment(1);
            log::debug!(path = path, reason = reason.as_str(); "owners cannot be read");
            return false;
        }
    }
    shared.request_limiter_tick();
    true
}
