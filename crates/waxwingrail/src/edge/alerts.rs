//! Tells the other VMs that the process of a target may have ended, or that one is cold.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_io::Timer;
use waxwing_edge::PeerMessage;
use waxwing_types::Millis;

use super::peers;
use super::state::Shared;

/// Time for which alerts gather. A failure domain of targets may crash at once.
const BATCH_TIME: Millis = Millis(20);
/// Greatest number of alerts in a datagram. Each has up to 25 bytes.
pub(super) const MAX_ALERTS: usize = 40;

/// Sends the alerts that have gathered, after [`BATCH_TIME`].
pub(crate) fn send_soon(shared: &Arc<Shared>) {
    if !shared.targets().has_alerts() || shared.alerts_due.swap(true, Ordering::Relaxed) {
        return;
    }
    let sender = Arc::clone(shared);
    let send = async move {
        Timer::after(BATCH_TIME.duration()).await;
        sender.alerts_due.store(false, Ordering::Relaxed);
        send(&sender);
    };
    shared.executor.spawn(send).detach();
}

fn send(shared: &Shared) {
    let alerts = shared.targets().take_alerts();
    let peers = shared.fleet().all_peers();
    for alerts in alerts.chunks(MAX_ALERTS) {
        let message = PeerMessage::TargetAlerts {
            alerts: alerts.to_vec(),
        };
        peers::send(shared, message, &peers);
    }
}
