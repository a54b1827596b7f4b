//! Reads the deployment, whose record may be large.
//!
//! A watch returns each version since the known one as a whole. A VM that is behind would read more the longer it is behind, so
//! that it reads the record itself instead: one version, whatever it has missed.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use waxwing_store::{Change, Entry, Family, Freshness, WatchOutcome};
use waxwing_types::{Millis, Revision, common_derives};

use super::apply::{apply_changes, apply_list};
use super::list::{Interruption, Position, current_outcome, list, record_and_report};
use super::origin::{Origin, ReadSource};
use super::settings::EdgeSettings;
use super::state::Shared;
use super::state_age::{CALL_TIME, DATAGRAM_TIME, SEND_TIME};
use super::ticks::TICK_PERIOD;
use super::watch_progress::{MAX_LAG, WatchMode};

/// Part of `max_apply_delay` that is not used to batch changes of the deployment. The changes must be in use within
/// `max_apply_delay`, and a slow store may need this time to return them.
const APPLY_MARGIN: Millis = Millis(2000);
/// Bandwidth of a store with 1,000 Mbit/s, and of a VM with 10 Mbit/s.
const STORE_BYTES_PER_MS: u64 = 125_000;
const SLOW_LINK_BYTES_PER_MS: u64 = 1_250;
/// Time on the link of the store, for all VMs together, and on a slow link, for one, in which a record must be read so that VMs read a
/// recent state of it before its latest state.
const MAX_RECENT_TRANSFER: Millis = Millis(50);
/// Maximum batch time. It delays new routes.
const MAX_BATCH_TIME: Millis = Millis(2000);

common_derives! {
    copy
    /// What a read of the whole record cost.
    #[derive(Default)]
    pub(crate) struct ReadCost {
        pub(crate) time: Millis,
        pub(crate) bytes: u64,
    }
}

impl ReadCost {
    /// Whether `vms` VMs may read a recent state of the record, which costs the store a tenth of the latest state. It may lack
    /// the change, so that it is read in vain, and a watch of it returns each version since the known one as a whole.
    pub(super) fn allows_recent_read(self, vms: u64) -> bool {
        self.shared_transfer(vms).max(self.slow_transfer()) <= MAX_RECENT_TRANSFER
    }

    /// Time on a slow link for one read.
    const fn slow_transfer(self) -> Millis {
        Millis(self.bytes / SLOW_LINK_BYTES_PER_MS)
    }

    /// Time on the link of the store for a read by `vms` VMs.
    const fn shared_transfer(self, vms: u64) -> Millis {
        Millis(self.bytes * vms / STORE_BYTES_PER_MS)
    }
}

/// The result of a read of the latest record.
pub(crate) struct LatestRead {
    /// Revision up to which all changes are known.
    pub(crate) revision: Revision,
    /// Whether the record has changed since the revision that was known before.
    pub(crate) is_newer: bool,
}

/// Reads the latest record and puts it in force. All changes up to `known` were known before.
pub(crate) async fn read_latest(
    shared: &Arc<Shared>,
    known: Revision,
    source: ReadSource,
) -> Result<LatestRead, Interruption> {
    let family = Family::Deployment;
    let sent_at = shared.now();
    let mode = WatchMode::CatchUp;
    let reported = shared.watch_progress().watch_started(sent_at, family, mode);
    let position = Position::Interrupted(known);
    let listed = list(shared, family, Freshness::Latest, position).await;
    shared.watch_progress().watch_ended(family);
    let listed = listed?;
    let changes = listed.entries.iter().map(|change| change.revision);
    let last_change = changes.max().filter(|revision| *revision > known);
    let (revision, as_of) = (listed.revision.max(known), listed.as_of);
    let origin = listed.origin(source);
    let version = listed.entries.iter().find_map(version_of);
    shared.record_store_success(family);
    apply_list(shared, family, Freshness::Latest, origin, listed.entries);
    let in_force = shared.routing_table().map_or(0, |table| table.version());
    if last_change.is_some() && version.is_none_or(|version| version > in_force) {
        read_missed_versions(shared, known).await?;
    }
    {
        let mut progress = shared.watch_progress();
        progress.record_catch_up(family, reported);
        progress.record_deployment_read(ReadCost {
            time: shared.now().since(sent_at),
            bytes: origin.bytes,
        });
    }
    record_and_report(shared, family, revision, last_change, as_of);
    Ok(LatestRead {
        revision,
        is_newer: last_change.is_some(),
    })
}

/// The version of an entry, `None` if it cannot be read.
fn version_of(change: &Change) -> Option<u64> {
    match &change.entry {
        Some(Entry::Deployment(record)) => Some(record.version),
        _ => None,
    }
}

/// Reads the versions since a revision, of which the last one cannot be used. One before it may be newer than that in force.
async fn read_missed_versions(shared: &Arc<Shared>, known: Revision) -> Result<(), Interruption> {
    let family = Family::Deployment;
    let (wait, timeout) = (Millis::ZERO, shared.settings.store_timeout);
    let sent_at = shared.now();
    let call = shared
        .registry
        .watch(family, known, Freshness::Latest, wait, timeout);
    let answer = call.await;
    let origin = Origin {
        source: ReadSource::CatchUp,
        bytes: answer.bytes,
        sent_at,
    };
    match current_outcome(shared, answer)? {
        WatchOutcome::Changed { changes, .. } => {
            apply_changes(shared, family, origin, changes);
            Ok(())
        }
        WatchOutcome::HistoryGone => Ok(()),
        WatchOutcome::Unreachable(reason) => {
            let position = Position::Interrupted(known);
            Err(Interruption::failed(position, reason, sent_at))
        }
    }
}

/// Pause between two reads. Changes in this time are read as a batch, as each read has a cost. A record that takes long to read
/// leaves less time for it: a change right after the start of a read waits for the end of that read, the pause, the next read
/// and the read of a VM that gets it by a report. That VM may have a slow link, and all `vms` read at that moment.
pub(crate) fn batch_time(settings: &EdgeSettings, read: ReadCost, vms: u64) -> Millis {
    let transfer_time = read.time - CALL_TIME;
    let own_read = CALL_TIME + transfer_time;
    let vm_read = CALL_TIME + read.shared_transfer(vms).max(read.slow_transfer());
    let steps = own_read + own_read + vm_read + DATAGRAM_TIME + MAX_LAG + TICK_PERIOD + SEND_TIME;
    let longest = (settings.max_apply_delay - APPLY_MARGIN).min(MAX_BATCH_TIME);
    longest.min(settings.max_apply_delay - steps)
}
