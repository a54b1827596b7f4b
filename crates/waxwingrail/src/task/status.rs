//! The status of the failure domain, written by one of its VMs.

use serde::Serialize;
use waxwing_store::{Condition, ReadOutcome, WriteOutcome};
use waxwing_types::{Millis, Revision};

use super::{Context, pause};
use crate::state::Shared;

const PERIOD: Millis = Millis::from_secs(1);
/// Longest time between two writes.
const REWRITE: Millis = Millis::from_secs(30);

/// The value of `status/{domain}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Status {
    /// The VM that wrote it.
    vm: String,
    /// Revision in force.
    revision: u64,
    /// Age of the configuration in ms, absent if the store was never heard of.
    age_ms: Option<u64>,
    /// VMs that respond and stay.
    live: usize,
    /// VMs that respond and are leaving.
    leaving: usize,
}

impl Status {
    /// Whether only the age differs, which every write brings up to date.
    fn same_but_age(&self, other: &Self) -> bool {
        Self {
            age_ms: self.age_ms,
            ..other.clone()
        } == *self
    }
}

struct Written {
    status: Status,
    at: Millis,
}

pub(super) async fn run(ctx: Context) {
    let shared = &ctx.shared;
    let path = format!("status/{}", shared.settings.domain);
    let mut version = None;
    let mut last: Option<Written> = None;
    loop {
        pause(PERIOD).await;
        let now = shared.now();
        let Some(status) = duty(shared, now) else {
            last = None;
            continue;
        };
        let fresh = |w: &Written| now.since(w.at) < REWRITE && w.status.same_but_age(&status);
        if last.as_ref().is_some_and(fresh) {
            continue;
        }
        if write(shared, &path, &status, &mut version).await {
            last = Some(Written { status, at: now });
        }
    }
}

/// The status, if writing it is this VM's duty.
fn duty(shared: &Shared, now: Millis) -> Option<Status> {
    let config = shared.config();
    let fleet = shared.fleet();
    if !fleet.puller.is_ready() || !fleet.members.is_first(now) {
        return None;
    }
    let (live, leaving) = fleet.members.census(now);
    let age = config.age(now);
    Some(Status {
        vm: shared.settings.vm.to_string(),
        revision: config.revision().0,
        age_ms: (age != Millis::MAX).then_some(age.0),
        live,
        leaving,
    })
}

/// Writes the status. Another VM may have written it, which shows as a conflict; the next attempt
/// reads its version first.
async fn write(
    shared: &Shared,
    path: &str,
    status: &Status,
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
