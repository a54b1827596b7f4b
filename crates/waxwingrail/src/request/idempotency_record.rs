//! Store calls that create, read and update the idempotency record of a request.

use std::pin::Pin;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use waxwing_core::StoreOutcome;
use waxwing_store::{Condition, ReadOutcome, WriteOutcome};
use waxwing_types::Revision;

use crate::state::Shared;

/// A call to the store that is under way.
type StoreFuture = Pin<Box<dyn Future<Output = StoreOutcome> + Send>>;

/// Creates an idempotency record. If the path is taken, returns the existing record.
pub(crate) fn create(shared: Arc<Shared>, path: String, value: Vec<u8>) -> StoreFuture {
    Box::pin(async move {
        let outcome = put_record(&shared, &path, value, Condition::Absent).await;
        if outcome != StoreOutcome::Conflict {
            return outcome;
        }
        match get_record(&shared, &path).await {
            StoreOutcome::Read(version, value) => StoreOutcome::Exists(version, value),
            outcome => outcome,
        }
    })
}

/// Reads an idempotency record.
pub(crate) fn read(shared: Arc<Shared>, path: String) -> StoreFuture {
    Box::pin(async move { get_record(&shared, &path).await })
}

/// Updates an idempotency record if it still has this version.
pub(crate) fn update(
    shared: Arc<Shared>,
    path: String,
    version: Revision,
    value: Vec<u8>,
) -> StoreFuture {
    Box::pin(async move { put_record(&shared, &path, value, Condition::Version(version)).await })
}

async fn get_record(shared: &Shared, path: &str) -> StoreOutcome {
    let started = Instant::now();
    let outcome = shared.store.get(path, shared.settings.store_timeout).await;
    shared.metrics.store_latency.record(started.elapsed());
    match outcome {
        ReadOutcome::Found(object) => StoreOutcome::Read(object.version, object.value),
        ReadOutcome::Absent => StoreOutcome::NotFound,
        ReadOutcome::Unreachable(reason) => store_failed(shared, path, &reason),
    }
}

async fn put_record(
    shared: &Shared,
    path: &str,
    value: Vec<u8>,
    condition: Condition,
) -> StoreOutcome {
    let started = Instant::now();
    let value = with_timestamp(value);
    let timeout = shared.settings.store_timeout;
    let outcome = shared.store.put(path, value, condition, timeout).await;
    shared.metrics.store_latency.record(started.elapsed());
    match outcome {
        WriteOutcome::Created(version) => StoreOutcome::Created(version),
        WriteOutcome::Updated(version) => StoreOutcome::Updated(version),
        WriteOutcome::Conflict(_) => StoreOutcome::Conflict,
        WriteOutcome::Absent => StoreOutcome::NotFound,
        WriteOutcome::Rejected { status, message } => {
            store_failed(shared, path, &format!("status {status}: {message}"))
        }
        WriteOutcome::Unreachable(reason) | WriteOutcome::Unknown(reason) => {
            store_failed(shared, path, &reason)
        }
    }
}

/// Appends the time of the write, from which `waxwingctl sweep` computes the age of a record. Every
/// update sets it anew, so a record is kept for the full retention time after its last update.
fn with_timestamp(mut value: Vec<u8>) -> Vec<u8> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let secs = since_epoch.map_or(0, |d| d.as_secs());
    value.extend_from_slice(format!(" created={secs}").as_bytes());
    value
}

/// Counts and logs a failed store call.
fn store_failed(shared: &Shared, path: &str, reason: &str) -> StoreOutcome {
    shared.metrics.store_failures.increment(1);
    log::debug!(path = path, reason = reason; "store call for an idempotency record failed");
    StoreOutcome::NoResponse
}
