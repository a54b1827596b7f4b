//! Writes the status of the failure domain to the store. One VM of each failure domain does so.

use std::time::{SystemTime, UNIX_EPOCH};

use waxwing_store::{Condition, DomainStatus, ReadOutcome, WriteOutcome};
use waxwing_types::{Millis, Revision};

use super::{TaskContext, pause};
use crate::state::Shared;

/// Period at which the status is compared with the status written last.
const CHECK_PERIOD: Millis = Millis::from_secs(1);
/// Time after which an unchanged status is written again.
const REWRITE_PERIOD: Millis = Millis::from_secs(30);

/// The part of the status whose change is written at once.
///
/// The configuration revision is not part of it. The revision rises with each write to the store, also
/// with the write of a status. If a new revision led to a write, failure domains would cause each other to
/// write without end.
#[derive(PartialEq, Eq)]
struct SignificantState {
    /// Number of records applied or rejected since the process started.
    records: u64,
    live: usize,
    leaving: usize,
}

/// The last status that this VM wrote.
struct LastWrite {
    state: SignificantState,
    at: Millis,
}

pub(super) async fn run(ctx: TaskContext) {
    let shared = &ctx.shared;
    let path = DomainStatus::path(&shared.settings.domain);
    let mut version = None;
    let mut last_write: Option<LastWrite> = None;
    loop {
        pause(CHECK_PERIOD).await;
        let now = shared.now();
        let Some((status, state)) = status_to_write(shared, now) else {
            last_write = None;
            continue;
        };
        let up_to_date =
            |write: &LastWrite| now.since(write.at) < REWRITE_PERIOD && write.state == state;
        if last_write.as_ref().is_some_and(up_to_date) {
            continue;
        }
        if write_status(shared, &path, &status, &mut version).await {
            last_write = Some(LastWrite { state, at: now });
        }
    }
}

/// The current status, if this VM is the one that writes it.
fn status_to_write(shared: &Shared, now: Millis) -> Option<(DomainStatus, SignificantState)> {
    let config = shared.config();
    let fleet = shared.fleet();
    if !fleet.puller.is_ready() || !fleet.members.is_status_writer(now) {
        return None;
    }
    let (live, leaving) = fleet.members.live_and_leaving(now);
    let age = config.age(now);
    let counts = config.counts();
    let state = SignificantState {
        records: counts.applied + counts.rejected,
        live,
        leaving,
    };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let status = DomainStatus {
        vm: shared.settings.vm.clone(),
        revision: config.revision(),
        age_ms: (age != Millis::MAX).then_some(age),
        live,
        leaving,
        written: since_epoch.map_or(0, |d| d.as_secs()),
    };
    Some((status, state))
}

/// Writes the status and returns whether the write succeeded. After a failure, such as a conflict with
/// the write of another VM, `version` is cleared, and the next attempt reads it from the store first.
async fn write_status(
    shared: &Shared,
    path: &str,
    status: &DomainStatus,
    version: &mut Option<Revision>,
) -> bool {
    let timeout = shared.settings.store_timeout;
    if version.is_none() {
        *version = match shared.store.get(path, timeout).await {
            ReadOutcome::Found(object) => Some(object.version),
            ReadOutcome::Absent => None,
            ReadOutcome::Unreachable(_) => return false,
        };
    }
    let value = serde_json::to_vec(status).unwrap_or_default();
    let condition = version.map_or(Condition::Absent, Condition::Version);
    match shared.store.put(path, value, condition, timeout).await {
        WriteOutcome::Created(written) | WriteOutcome::Updated(written) => {
            *version = Some(written);
            true
        }
        WriteOutcome::Conflict(_)
        | WriteOutcome::Absent
        | WriteOutcome::Rejected { .. }
        | WriteOutcome::Unreachable(_)
        | WriteOutcome::Unknown(_) => {
            *version = None;
            false
        }
    }
}
