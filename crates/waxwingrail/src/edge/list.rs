//! Lists families of registry entries again, after an outage, a loss of history or a restore of the store.

use std::sync::Arc;

use waxwing_store::{Answer, Change, Family, Freshness, ListOutcome};
use waxwing_types::{Millis, Revision, StoreEpoch};

use super::apply::{apply_list, apply_restored_list};
use super::origin::{Origin, ReadSource};
use super::patch;
use super::peers;
use super::restore::{self, AnswerEpoch};
use super::state::Shared;

/// Where the reading of a family continues.
#[derive(Clone, Copy)]
pub(crate) enum Position {
    /// The family has not been listed yet.
    Unlisted,
    /// The store dropped changes after this revision. The family must be listed again.
    HistoryGone(Revision),
    /// A call failed. All changes up to this revision are known.
    Interrupted(Revision),
    /// The store was restored from an older copy, and no known revision holds. The latest state must be listed.
    Restored,
}

/// Why the reading of a family stopped, and where it continues.
pub(crate) struct Interruption {
    pub(crate) position: Position,
    /// The failure of a call; `None` if the store only dropped its history or was restored, or a watch failed that had met a
    /// silence of the store long ago.
    pub(crate) failure: Option<StoreFailure>,
}

/// A call to the store that failed.
pub(crate) struct StoreFailure {
    pub(crate) reason: String,
    /// Time at which the call met the outage, or earlier: the outage has not ended before.
    pub(crate) met_at: Millis,
}

impl Interruption {
    /// The failure of a call without a wait, which was sent at `sent_at`.
    pub(crate) fn failed(position: Position, reason: String, sent_at: Millis) -> Self {
        let failure = StoreFailure {
            reason,
            met_at: sent_at,
        };
        Self {
            position,
            failure: Some(failure),
        }
    }
}

/// Lists a family again. A recent state is enough if it is not older than the known revision: it would restore entries whose
/// removal this process has already applied. After a loss of history it must be newer. Otherwise the latest state is listed.
pub(crate) async fn list_again(
    shared: &Arc<Shared>,
    family: Family,
    known: Revision,
    position: Position,
) -> Result<Revision, Interruption> {
    let mut freshness = shared.watch_progress().recent_freshness(shared.now());
    let mut listed = list(shared, family, freshness, position).await?;
    let own_name = shared.own_entry.id.as_str();
    let lacks_own_vm = family == Family::Vms && listed.entries.iter().all(|e| e.name != own_name);
    let history_gone = matches!(position, Position::HistoryGone(_));
    let is_old = listed.revision < known || history_gone && listed.revision == known;
    if freshness == Freshness::Recent && (is_old || lacks_own_vm) {
        freshness = Freshness::Latest;
        listed = list(shared, family, freshness, position).await?;
    }
    let (revision, as_of) = (listed.revision, listed.as_of);
    shared.record_store_success(family);
    let origin = listed.origin(ReadSource::List);
    apply_list(shared, family, freshness, origin, listed.entries);
    // The list may contain changes that no watch returned, if the store has dropped them.
    let last_change = history_gone.then_some(revision);
    record_and_report(shared, family, revision, last_change, as_of);
    Ok(revision)
}

/// Lists the latest state of a family after a restore of the store.
pub(crate) async fn list_after_restore(
    shared: &Arc<Shared>,
    family: Family,
) -> Result<Revision, Interruption> {
    let listed = list(shared, family, Freshness::Latest, Position::Restored).await?;
    let is_reload = shared.store_status().loaded.contains(&family);
    shared.record_store_success(family);
    let origin = listed.origin(ReadSource::Restore);
    if is_reload {
        apply_restored_list(shared, family, origin, listed.entries);
    } else {
        apply_list(shared, family, Freshness::Latest, origin, listed.entries);
    }
    let mut progress = shared.watch_progress();
    progress.record_restored_list(family, listed.epoch, listed.revision, listed.as_of);
    Ok(listed.revision)
}

/// All entries of a family.
pub(crate) struct Listed {
    pub(crate) entries: Vec<Change>,
    pub(crate) revision: Revision,
    /// Time up to which the list holds all changes, `None` for a list of a recent state.
    pub(crate) as_of: Option<Millis>,
    epoch: Option<StoreEpoch>,
    bytes: u64,
    sent_at: Millis,
}

impl Listed {
    pub(crate) const fn origin(&self, source: ReadSource) -> Origin {
        Origin {
            source,
            bytes: self.bytes,
            sent_at: self.sent_at,
        }
    }
}

/// The outcome of a call, unless the answer shows that the store was restored, or states what may be lost.
pub(crate) fn current_outcome<T>(shared: &Shared, answer: Answer<T>) -> Result<T, Interruption> {
    let failure = match restore::record_epoch(shared, answer.epoch) {
        AnswerEpoch::Current => return Ok(answer.outcome),
        AnswerEpoch::Restored(_) => None,
        AnswerEpoch::Earlier => Some(StoreFailure {
            reason: "answer of an earlier epoch".to_owned(),
            met_at: shared.now(),
        }),
    };
    Err(Interruption {
        position: Position::Restored,
        failure,
    })
}

/// Calls the store for a list. Reading continues at `position` if the call fails.
pub(crate) async fn list(
    shared: &Shared,
    family: Family,
    freshness: Freshness,
    position: Position,
) -> Result<Listed, Interruption> {
    let timeout = shared.settings.store_timeout;
    let sent_at = shared.now();
    let answer = shared.registry.list(family, freshness, timeout).await;
    let (epoch, bytes) = (answer.epoch, answer.bytes);
    match current_outcome(shared, answer)? {
        ListOutcome::Listed { entries, revision } => Ok(Listed {
            entries,
            revision,
            as_of: (freshness == Freshness::Latest).then_some(sent_at),
            epoch,
            bytes,
            sent_at,
        }),
        ListOutcome::Unreachable(reason) => Err(Interruption::failed(position, reason, sent_at)),
    }
}

/// Records that an answer of the store is in use: the revision up to which all changes are known, the revision of the last
/// change in it, and the time up to which the answer holds all changes, `None` if it is of a recent state. The store reader
/// also reports a new change or a new time to the VMs of the region, and sends them the changes of the deployment.
pub(crate) fn record_and_report(
    shared: &Arc<Shared>,
    family: Family,
    revision: Revision,
    last_change: Option<Revision>,
    as_of: Option<Millis>,
) {
    let has_new_change = {
        let mut progress = shared.watch_progress();
        progress.record_answer(family, revision, last_change, as_of)
    };
    if has_new_change || as_of.is_some() && family != Family::Vms {
        peers::report_state_as_reader(shared);
    }
    if has_new_change && family == Family::Deployment {
        patch::send_as_reader(shared);
    }
}
