//! Store calls on the idempotency record of a request.

use std::pin::Pin;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use waxwing_core::StoreOutcome;
use waxwing_store::{Condition, ReadOutcome, WriteOutcome};
use waxwing_types::Revision;

use crate::state::Shared;

type Call = Pin<Box<dyn Future<Output = StoreOutcome> + Send>>;

/// Creates a record. If one exists, it is read as well.
pub(crate) fn create(shared: Arc<Shared>, path: String, value: Vec<u8>) -> Call {
    Box::pin(async move {
        let outcome = write(&shared, &path, value, Condition::Absent).await;
        if outcome != StoreOutcome::Conflict {
            return outcome;
        }
        match get(&shared, &path).await {
            StoreOutcome::Read(version, value) => StoreOutcome::Exists(version, value),
            outcome => outcome,
        }
    })
}

/// Reads a record.
pub(crate) fn read(shared: Arc<Shared>, path: String) -> Call {
    Box::pin(async move { get(&shared, &path).await })
}

/// Updates a record at a version.
pub(crate) fn update(shared: Arc<Shared>, path: String, version: Revision, value: Vec<u8>) -> Call {
    Box::pin(async move { write(&shared, &path, value, Condition::Version(version)).await })
}

async fn get(shared: &Shared, path: &str) -> StoreOutcome {
    let begun = Instant::now();
    let outcome = shared.store.get(path, shared.settings.store_timeout).await;
    shared.metrics.store_latency.record(begun.elapsed());
    match outcome {
        ReadOutcome::Found(object) => StoreOutcome::Read(object.version, object.value),
        ReadOutcome::Absent => StoreOutcome::NotFound,
        ReadOutcome::Unreachable(reason) => unreachable(shared, path, &reason),
    }
}

async fn write(shared: &Shared, path: &str, value: Vec<u8>, condition: Condition) -> StoreOutcome {
    let begun = Instant::now();
    let value = dated(value);
    let timeout = shared.settings.store_timeout;
    let outcome = shared.store.put(path, value, condition, timeout).await;
    shared.metrics.store_latency.record(begun.elapsed());
    match outcome {
        WriteOutcome::Created(version) => StoreOutcome::Created(version),
        WriteOutcome::Updated(version) => StoreOutcome::Updated(version),
        WriteOutcome::Conflict(_) => StoreOutcome::Conflict,
        WriteOutcome::Absent => StoreOutcome::NotFound,
        WriteOutcome::Rejected { status, message } => {
            unreachable(shared, path, &format!("status {status}: {message}"))
        }
        WriteOutcome::Unreachable(reason) | WriteOutcome::Unknown(reason) => {
            unreachable(shared, path, &reason)
        }
    }
}

/// Appends the time of the write, by which `waxwingctl sweep` tells old records. A record is thus kept
/// for its whole time after its last change.
fn dated(mut value: Vec<u8>) -> Vec<u8> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let secs = since.map_or(0, |d| d.as_secs());
    value.extend_from_slice(format!(" created={secs}").as_bytes());
    value
}

fn unreachable(shared: &Shared, path: &str, reason: &str) -> StoreOutcome {
    shared.metrics.store_failures.increment(1);
    log::debug!(path = path, reason = reason; "store call failed");
    StoreOutcome::NoResponse
}
