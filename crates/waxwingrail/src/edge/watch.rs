//! Lists and watches the entries in the registry, and applies their changes.
//!
//! The registry is the typed interface to the platform's object store. A family is one kind of entries: the
//! deployment, targets, evacuated failure domains or VMs. Lists and watches read either the latest state of the
//! store, or a recent state, which may lag by some seconds and costs the store less. One VM of each failure
//! domain, the store reader, watches the latest state and reports the revisions of changes to the other VMs.

#[cfg(test)]
mod tests;
mod times;

use std::sync::Arc;

use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use waxwing_store::{Answer, Change, Family, Freshness, WatchOutcome};
use waxwing_types::{Millis, Revision};

use super::apply::{apply_changes, apply_list};
use super::deployment::{self, ReadCost};
use super::list::{
    Interruption, Listed, Position, StoreFailure, current_outcome, list, list_after_restore,
    list_again, record_and_report,
};
use super::origin::{Origin, ReadSource};
use super::settings::EdgeSettings;
use super::state::Shared;
use super::state_age::{CALL_TIME, DATAGRAM_TIME, SEND_TIME};
use super::ticks::TICK_PERIOD;
use super::watch_progress::{MAX_LAG, WatchMode};
use times::{answered_as_of, outage_met_at, watch_times};

/// Initial and maximum backoff after failed calls, without jitter. Calls must succeed within `store_recovery` after an
/// outage: then the limits on the delay of changes, `max_apply_delay` and `max_drain_delay`, apply again.
const RETRY_BACKOFF: (Millis, Millis) = (Millis(60), Millis(800));
/// Maximum time for which a family waits in an outage, during which only one other family probes the store.
const MAX_PROBE_WAIT: Millis = Millis::from_secs(4);
/// Time without a confirmation after which the state of a family is logged as old. A VM that no longer receives the
/// reports of a store reader needs 3.5 s and one watch to confirm the state itself.
const MAX_STATE_AGE: Millis = Millis::from_secs(12);
/// Period at which the waiting families check whether the probe has succeeded.
const PROBE_POLL_PERIOD: Millis = Millis(100);

/// Part of `max_drain_delay` that is not used to batch changes of targets: a reader reads and reports the change, another VM
/// waits for it in a recent state, reads the latest state, and its last request arrives at the target.
const DRAIN_MARGIN: Millis =
    Millis(CALL_TIME.0 + DATAGRAM_TIME.0 + MAX_LAG.0 + TICK_PERIOD.0 + CALL_TIME.0 + SEND_TIME.0);
/// Maximum batch time of targets. It delays the first request to a new target.
const MAX_BATCH_TIME: Millis = Millis(2000);
/// Time for which evacuations are batched. An evacuation should take effect within 1 s, because each further
/// second of delay has a cost.
const EVACUATIONS_BATCH_TIME: Millis = Millis(500);
/// Time for which changes of VMs are batched. It may be long because heartbeats show which VMs are live.
const VMS_BATCH_TIME: Millis = Millis(2000);

/// Starts one task per family. The task lists and watches the entries of the family.
pub(crate) fn spawn_watches(shared: &Arc<Shared>) -> Vec<Task<()>> {
    let spawn_watch = |family| {
        shared
            .executor
            .spawn(list_and_watch_with_retries(Arc::clone(shared), family))
    };
    Family::ALL.into_iter().map(spawn_watch).collect()
}

/// Which state of the store a starting process lists. A recent state may be some seconds old, and may hold keys that have
/// been withdrawn and lack evacuations. A target that has left may be tried for some seconds; if another process has its
/// address, that process does not run the request, because requests name their target.
const fn first_list_freshness(family: Family) -> Freshness {
    match family {
        Family::Deployment | Family::Evacuations => Freshness::Latest,
        Family::Targets | Family::Vms => Freshness::Recent,
    }
}

async fn list_and_watch_with_retries(shared: Arc<Shared>, family: Family) {
    let interruptions = shared.watch_progress().add_family(family);
    let (min_pause, max_pause) = RETRY_BACKOFF;
    let mut pause = min_pause;
    let mut position = Position::Unlisted;
    loop {
        if shared.watch_progress().must_list(family) {
            position = Position::Restored;
        }
        let interruption = match resume(&shared, family, position).await {
            Ok(revision) => {
                pause = min_pause;
                watch(&shared, family, revision, &interruptions).await
            }
            Err(interruption) => interruption,
        };
        position = interruption.position;
        if let Some(failure) = interruption.failure {
            shared.record_store_failure(family, &failure);
            let jitter = Millis(fastrand::u64(0..=pause.0 / 2));
            Timer::after((pause + jitter).duration()).await;
            pause = Millis(pause.0 * 2).min(max_pause);
            let mut probe_wait = Millis::ZERO;
            while probe_wait < MAX_PROBE_WAIT && shared.store_status().must_wait_for_probe(family) {
                Timer::after(PROBE_POLL_PERIOD.duration()).await;
                probe_wait += PROBE_POLL_PERIOD;
            }
        }
    }
}

/// Brings a family up to date after a start or an interruption, and returns the known revision.
///
/// After a failed call, the changes since the known revision are read, which costs the store a tenth of a list of the
/// latest state. Targets are listed as well: their entries may expire in an outage without a change that a watch returns.
async fn resume(
    shared: &Arc<Shared>,
    family: Family,
    position: Position,
) -> Result<Revision, Interruption> {
    let known = match position {
        Position::Unlisted => {
            let freshness = first_list_freshness(family);
            let listed = list(shared, family, freshness, position).await?;
            let origin = listed.origin(ReadSource::List);
            let Listed {
                entries,
                revision,
                as_of,
                ..
            } = listed;
            shared.record_store_success(family);
            if family == Family::Deployment {
                shared.watch_progress().record_deployment_size(origin.bytes);
            }
            apply_list(shared, family, freshness, origin, entries);
            // If the first list counted as a change, a store reader would report its revision, and all VMs of the
            // region would read the latest state again.
            record_and_report(shared, family, revision, None, as_of);
            if family == Family::Vms {
                // All VMs may start at once. After this delay, one call returns the entries of all VMs.
                Timer::after(VMS_BATCH_TIME.duration()).await;
            }
            return Ok(revision);
        }
        Position::HistoryGone(known) => return list_again(shared, family, known, position).await,
        Position::Interrupted(known) if family == Family::Deployment => {
            let read = deployment::read_latest(shared, known, ReadSource::Resume).await?;
            return Ok(read.revision);
        }
        Position::Interrupted(known) => known,
        Position::Restored => return list_after_restore(shared, family).await,
    };
    let timeout = shared.settings.store_timeout;
    let freshness = shared.watch_progress().recent_freshness(shared.now());
    let sent_at = shared.now();
    let probe = shared
        .registry
        .watch(family, known, freshness, Millis::ZERO, timeout);
    let answer = probe.await;
    let origin = Origin {
        source: ReadSource::Resume,
        bytes: answer.bytes,
        sent_at,
    };
    match current_outcome(shared, answer)? {
        WatchOutcome::Changed { changes, revision } => {
            let last_change = last_change_revision(&changes, known, revision);
            let revision = revision.max(known);
            shared.record_store_success(family);
            apply_changes(shared, family, origin, changes);
            record_and_report(shared, family, revision, last_change, None);
            if family == Family::Targets {
                return list_again(shared, family, revision, Position::Interrupted(revision)).await;
            }
            Ok(revision)
        }
        WatchOutcome::HistoryGone => {
            list_again(shared, family, known, Position::HistoryGone(known)).await
        }
        WatchOutcome::Unreachable(reason) => Err(Interruption::failed(position, reason, sent_at)),
    }
}

/// Waits for changes of a family after a revision. `None` if the wait is interrupted.
async fn wait_for_changes(
    shared: &Shared,
    family: Family,
    revision: Revision,
    mode: WatchMode,
    (wait, timeout): (Millis, Millis),
    interruptions: &Receiver<()>,
) -> Option<Answer<WatchOutcome>> {
    let sent_at = shared.now();
    let watch = async {
        if mode == WatchMode::Reported {
            future::pending::<()>().await;
        }
        let freshness = mode.freshness();
        let call = shared
            .registry
            .watch(family, revision, freshness, wait, timeout);
        Some(call.await)
    };
    let interruption = async { interruptions.recv().await.ok().and(None) };
    let answer = future::or(watch, interruption).await;
    shared.watch_progress().watch_ended(family);
    if answer.is_none() && mode != WatchMode::Reported {
        log::info!(
            family = family.as_str(), source = mode.source().as_str(), revision = revision.0,
            call_ms = shared.now().since(sent_at).0;
            "call given up for a read of the latest state"
        );
        shared.metrics.count_given_up(family);
    }
    answer
}

/// Watches a family until a call fails or the store has dropped unread changes.
async fn watch(
    shared: &Arc<Shared>,
    family: Family,
    mut revision: Revision,
    interruptions: &Receiver<()>,
) -> Interruption {
    // Whether the last answer showed a new version of the deployment, so that more are likely to have followed.
    let mut has_changed = false;
    loop {
        let now = shared.now();
        let is_store_reader = shared.fleet().is_store_reader(now);
        let (mode, keeps_watching, reported, confirm_wait) = {
            let mut progress = shared.watch_progress();
            let mut mode = progress.next_mode(now, family, is_store_reader);
            // Of a small record, the watch of a recent state goes on after a change: its versions cost less than a read.
            let keeps_watching =
                mode.freshness() == Freshness::Recent && progress.allows_recent_read();
            if std::mem::take(&mut has_changed) && !keeps_watching && mode != WatchMode::Reported {
                mode = WatchMode::CatchUp;
            }
            revision = revision.max(progress.known_revision(family));
            let reported = progress.watch_started(now, family, mode);
            let confirm_wait = progress.next_read(family, true).since(now);
            (mode, keeps_watching, reported, confirm_wait)
        };
        let (wait, timeout) = watch_times(&shared.settings, mode, confirm_wait);
        // Discards interruptions that arrived after the end of the previous watch.
        while interruptions.try_recv().is_ok() {}
        if shared.watch_progress().must_list(family) {
            return Interruption {
                position: Position::Restored,
                failure: None,
            };
        }
        if family == Family::Deployment && mode == WatchMode::CatchUp {
            match deployment::read_latest(shared, revision, mode.source()).await {
                Ok(read) => {
                    revision = read.revision;
                    has_changed = read.is_newer;
                }
                Err(interruption) => return interruption,
            }
            if has_changed {
                pause_for_batch(shared, family).await;
            }
            continue;
        }
        let times = (wait, timeout);
        let answer = wait_for_changes(shared, family, revision, mode, times, interruptions).await;
        let Some(answer) = answer else {
            continue;
        };
        let answered_at = shared.now();
        let origin = Origin {
            source: mode.source(),
            bytes: answer.bytes,
            sent_at: now,
        };
        let outcome = match current_outcome(shared, answer) {
            Ok(outcome) => outcome,
            Err(interruption) => return interruption,
        };
        match outcome {
            WatchOutcome::Changed {
                changes,
                revision: watched_revision,
            } => {
                let as_of = answered_as_of(now, wait, answered_at, !changes.is_empty());
                let as_of = (mode.freshness() == Freshness::Latest).then_some(as_of);
                let last_change = last_change_revision(&changes, revision, watched_revision);
                if family == Family::Deployment && !changes.is_empty() {
                    let bytes = origin.bytes / changes.len() as u64;
                    shared.watch_progress().record_deployment_size(bytes);
                }
                apply_changes(shared, family, origin, changes);
                revision = watched_revision.max(revision);
                if mode == WatchMode::CatchUp {
                    shared.watch_progress().record_catch_up(family, reported);
                }
                record_and_report(shared, family, revision, last_change, as_of);
                if last_change.is_some() {
                    has_changed = family == Family::Deployment;
                    if !has_changed || !keeps_watching {
                        pause_for_batch(shared, family).await;
                    }
                }
            }
            WatchOutcome::HistoryGone => {
                return Interruption {
                    position: Position::HistoryGone(revision),
                    failure: None,
                };
            }
            WatchOutcome::Unreachable(reason) => {
                let met_at = outage_met_at(&shared.settings, now, wait, answered_at);
                let progress = shared.watch_progress();
                let shows_outage = progress.shows_outage(answered_at, family, mode);
                return Interruption {
                    position: Position::Interrupted(revision),
                    failure: shows_outage.then_some(StoreFailure { reason, met_at }),
                };
            }
        }
    }
}

/// Waits while changes of a family gather, until the next read of the latest state is due.
async fn pause_for_batch(shared: &Shared, family: Family) {
    let read = shared.watch_progress().deployment_read();
    let vms = shared.fleet().vm_count() as u64;
    let batch_end = shared.now() + batch_time(&shared.settings, family, (read, vms));
    loop {
        let now = shared.now();
        let is_store_reader = shared.fleet().is_store_reader(now);
        let next_read = shared.watch_progress().next_read(family, is_store_reader);
        let end = batch_end.min(next_read);
        if now >= end {
            return;
        }
        Timer::after(end.since(now).duration()).await;
    }
}

/// Interrupts watches that must be replaced by a read of the latest state. The reason is that the watch has not
/// returned a reported change, that this VM has become the store reader, or that nothing has confirmed the state for too long.
pub(crate) fn interrupt_outdated_watches(shared: &Shared, now: Millis) {
    let is_store_reader = shared.fleet().is_store_reader(now);
    let vms = shared.fleet().vm_count() as u64;
    let interrupted_families = {
        let mut progress = shared.watch_progress();
        progress.record_tick(now);
        progress.record_vms(vms);
        progress.interrupt_outdated(now, is_store_reader)
    };
    for family in interrupted_families {
        log::debug!(family = family.as_str(), reader = is_store_reader; "watch interrupted");
    }
}

/// Logs families whose state in use may be old: for `MAX_STATE_AGE`, neither the store nor a store reader has shown that
/// this VM has all changes.
pub(crate) fn log_state_ages(shared: &Shared, now: Millis) {
    let age_changes = shared.watch_progress().take_age_changes(now, MAX_STATE_AGE);
    for (family, is_outdated) in age_changes {
        if is_outdated {
            log::warn!(
                family = family.as_str(), age_ms = MAX_STATE_AGE.0;
                "state may be old: neither the store nor a store reader has confirmed it"
            );
        } else {
            log::info!(family = family.as_str(); "state confirmed again");
        }
    }
}

/// The revision of the last of the changes that a watch from `known` returned; `None` if it returned none. The revision
/// of the response, `watched`, is higher if entries of other families have changed meanwhile; a VM that knows all changes
/// of the family need not reach it. It is used if a change states no revision above `known`.
fn last_change_revision(
    changes: &[Change],
    known: Revision,
    watched: Revision,
) -> Option<Revision> {
    let revisions = changes.iter().map(|change| change.revision);
    let (first, last) = (revisions.clone().min()?, revisions.max()?);
    Some(if first > known { last } else { watched })
}

/// Pause between two calls for a family. Changes in this time are read as a batch, as each call has a cost. `read` is
/// what a read of the deployment costs, and `vms` how many VMs read it.
fn batch_time(settings: &EdgeSettings, family: Family, (read, vms): (ReadCost, u64)) -> Millis {
    match family {
        Family::Deployment => deployment::batch_time(settings, read, vms),
        Family::Targets => (settings.max_drain_delay - DRAIN_MARGIN).min(MAX_BATCH_TIME),
        Family::Evacuations => EVACUATIONS_BATCH_TIME,
        Family::Vms => VMS_BATCH_TIME,
    }
}
