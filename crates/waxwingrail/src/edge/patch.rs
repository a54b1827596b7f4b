//! Changes of the deployment as datagrams.
//!
//! A store reader that has read a new version sends the VMs of its region the items that changed. A VM that receives them need not
//! read the record, whose size would come over the link of the store once for each VM. A VM that lost them, or cannot use
//! them, learns of the change by a report and reads the record.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use waxwing_edge::PeerMessage;
use waxwing_records::{ChangeLog, DeploymentPatch};
use waxwing_types::{Millis, Revision, StoreEpoch};

use super::apply::apply_deployment;
use super::origin::{Origin, ReadSource};
use super::peers;
use super::state::Shared;
use super::state_age::DATAGRAM_TIME;
use super::watch_progress::MAX_LAG;

/// Most bytes of the changes in a datagram of one packet, and in any datagram.
const PACKET_CHANGE_BYTES: u64 = 1_050;
const MAX_CHANGE_BYTES: u64 = 8_000;
/// Rate at which patches are sent, about half a link with 10 Mbit/s. Links drop the datagrams of a burst.
const SEND_BYTES_PER_MS: u64 = 600;
/// Shortest pause between two datagrams. Several are sent at once if less is due.
const MIN_SEND_PAUSE: Millis = Millis(5);
/// Time within which all VMs are sent a patch. They read the record if they lack a reported change for [`MAX_LAG`].
pub(super) const MAX_SEND_TIME: Millis = Millis(MAX_LAG.0 - DATAGRAM_TIME.0 - 50);

/// The latest versions of the deployment, and up to which one the VMs of the region have been sent patches.
#[derive(Default)]
pub(crate) struct DeploymentLog {
    pub(crate) changes: ChangeLog,
    sent_version: u64,
}

/// Sends the VMs of the region what the latest versions changed if this VM is the store reader of its failure domain.
/// Otherwise, or if another store reader has done so, does nothing.
pub(crate) fn send_as_reader(shared: &Arc<Shared>) {
    let recipients = peers::region_peers_of_reader(shared);
    // Read before the deployment, which therefore contains the change of this revision.
    let listed = shared.watch_progress().listed_deployment();
    let (Some((epoch, revision)), false) = (listed, recipients.is_empty()) else {
        return;
    };
    let patch = {
        let mut versions = shared.deployment_log();
        let Some(table) = shared.routing_table() else {
            return;
        };
        if table.version() <= versions.sent_version {
            return;
        }
        versions.sent_version = table.version();
        let limits = change_limits(recipients.len() as u64);
        versions.changes.patch(table.deployment(), limits)
    };
    let Some(patch) = patch else {
        return;
    };
    log::info!(
        from = patch.from, version = patch.version, changes = patch.changes.len(), vms = recipients.len();
        "patch of the deployment sent"
    );
    let message = PeerMessage::DeploymentPatch {
        epoch,
        revision,
        patch,
    };
    let sender = Arc::clone(shared);
    let send = async move { send_paced(&sender, message, &recipients).await };
    shared.executor.spawn(send).detach();
}

/// Most bytes of the changes in a patch that is to take one packet, and in any patch, for a number of recipients.
fn change_limits(recipients: u64) -> (u64, u64) {
    let sendable_bytes = MAX_SEND_TIME.0 * SEND_BYTES_PER_MS / recipients;
    let max_bytes = MAX_CHANGE_BYTES.min(sendable_bytes);
    (PACKET_CHANGE_BYTES.min(max_bytes), max_bytes)
}

/// Sends a message to each address, no faster than [`SEND_BYTES_PER_MS`].
async fn send_paced(shared: &Shared, message: PeerMessage, recipients: &[SocketAddr]) {
    let mut due_bytes = 0;
    for recipient in recipients {
        due_bytes += peers::send(shared, message.clone(), &[*recipient]) as u64;
        let pause = Millis(due_bytes / SEND_BYTES_PER_MS);
        if pause >= MIN_SEND_PAUSE {
            Timer::after(pause.duration()).await;
            due_bytes = 0;
        }
    }
}

/// Brings the deployment up to date with a patch that another VM of the region has sent.
pub(crate) fn on_patch(
    shared: &Shared,
    (epoch, revision): (Option<StoreEpoch>, Revision),
    patch: &DeploymentPatch,
    (from, bytes): (SocketAddr, usize),
) {
    let listed = shared.watch_progress().listed_deployment();
    let is_current = listed.is_some_and(|(known_epoch, _)| known_epoch == epoch);
    if !is_current || !shared.fleet().region_peers().contains(&from) {
        return;
    }
    let Some(table) = shared.routing_table() else {
        return;
    };
    {
        let mut versions = shared.deployment_log();
        versions.sent_version = versions.sent_version.max(patch.version);
    }
    if table.version() >= patch.version {
        return;
    }
    let record = match patch.apply(table.deployment()) {
        Ok(record) => record,
        Err(error) => {
            shared.metrics.unused_patches.increment(1);
            log::info!(
                version = patch.version, from = patch.from, in_force = table.version(),
                reason = error.to_string().as_str();
                "patch of the deployment not used"
            );
            return;
        }
    };
    let now = shared.now();
    let origin = Origin {
        source: ReadSource::Patch,
        bytes: bytes as u64,
        sent_at: now,
    };
    apply_deployment(shared, now, origin, record);
    if shared
        .routing_table()
        .is_some_and(|table| table.version() >= patch.version)
    {
        shared.watch_progress().record_patch(epoch, revision);
    }
}
