//! Admission of a request within the rate of its workspace.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use waxwing_edge::Admission;
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Millis, RefusalReason};

use super::peers;
use super::refusal::Refusal;
use super::state::Shared;

/// Waits after this VM has asked for a quota token once and twice. A reply from the own region takes about 2 ms.
const REGION_TOKEN_WAITS: [Duration; 2] = [Duration::from_millis(6), Duration::from_millis(14)];
/// Wait for a quota token of another region. A round trip takes 112 ms.
const OTHER_REGION_TOKEN_WAIT: Duration = Duration::from_millis(115);
/// Minimum latency objective for [`OTHER_REGION_TOKEN_WAIT`], as a refusal may take an eighth of the objective.
const MIN_OTHER_REGION_OBJECTIVE: Millis = Millis(800);

/// Takes a quota token. May wait for tokens of the region and, if the objective is long, of other regions.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    workspace: &WorkspaceSpec,
    objective: Millis,
) -> Result<(), Refusal> {
    let mut admission = shared.quota().admit(shared.now(), workspace);
    for (round, wait) in REGION_TOKEN_WAITS.into_iter().enumerate() {
        let Admission::NoToken { .. } = admission else {
            return Ok(());
        };
        if !peers::request_token(shared, &workspace.id, round > 0) && round == 0 {
            return admission_result(admission);
        }
        Timer::after(wait).await;
        admission = shared.quota().retry_admit(shared.now(), workspace);
    }
    if let Admission::NoToken { .. } = admission
        && objective >= MIN_OTHER_REGION_OBJECTIVE
    {
        peers::request_token_from_other_regions(shared, &workspace.id);
        Timer::after(OTHER_REGION_TOKEN_WAIT).await;
        admission = shared.quota().retry_admit(shared.now(), workspace);
    }
    admission_result(admission)
}

fn admission_result(admission: Admission) -> Result<(), Refusal> {
    match admission {
        Admission::Admitted => Ok(()),
        Admission::NoToken { wait } => Err(Refusal::retry(RefusalReason::RateLimited, wait)),
    }
}
