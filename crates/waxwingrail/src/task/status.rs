//! The status of the failure domain, written by one of its VMs.

use std::time::{SystemTime, UNIX_EPOCH};

use waxwing_store::{Condition, DomainStatus, ReadOutcome, WriteOutcome};
use waxwing_types::{Millis, Revision};

use super::{Context, pause};
use crate::state::Shared;

const PERIOD: Millis = Millis::from_secs(1);
/// Longest time between two writes.
const REWRITE: Millis = Millis::from_secs(30);

/// What a write of the status must not miss.
///
/// The revision is not part of it: it rises with each write to the store, those of statuses included,
/// so that the writes of many domains would keep each other going.
#[derive(PartialEq, Eq)]
struct Content {
    /// Records put in force or rejected.
    records: u64,
    live: usize,
    leaving: usize,
}

struct Written {
    content: Content,
    at: Millis,
}

pub(super) async fn run(ctx: Context) {
    let shared = &ctx.shared;
    let path = DomainStatus::path(&shared.settings.domain);
    let mut version = None;
    let mut last: Option<Written> = None;
    loop {
        pause(PERIOD).await;
        let now = shared.now();
        let Some((status, content)) = duty(shared, now) else {
            last = None;
            continue;
        };
        let fresh = |w: &Written| now.since(w.at) < REWRITE && w.content == content;
        if last.as_ref().is_some_and(fresh) {
            continue;
        }
        if write(shared, &path, &status, &mut version).await {
            last = Some(Written { content, at: now });
        }
    }
}

/// The status, if writing it is this VM's duty.
fn duty(shared: &Shared, now: Millis) -> Option<(DomainStatus, Content)> {
    let config = shared.config();
    let fleet = shared.fleet();
    if !fleet.puller.is_ready() || !fleet.members.is_status_writer(now) {
        return None;
    }
    let (live, leaving) = fleet.members.live_and_leaving(now);
    let age = config.age(now);
    let counts = config.counts();
    let content = Content {
        records: counts.applied + counts.rejected,
        live,
        leaving,
    };
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let status = DomainStatus {
        vm: shared.settings.vm.clone(),
        revision: config.revision(),
        age_ms: (age != Millis::MAX).then_some(age),
        live,
        leaving,
        written: since.map_or(0, |d| d.as_secs()),
    };
    Some((status, content))
}

/// Writes the status. Another VM may have written it, which shows as a conflict; the next attempt
/// reads its version first.
async fn write(
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
