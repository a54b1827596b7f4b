//! The entry of this VM in the registry.

use std::sync::Arc;

use async_io::Timer;
use waxwing_store::{Family, WriteOutcome};
use waxwing_types::Millis;

use super::peers;
use super::restore::{self, AnswerEpoch};
use super::state::Shared;

/// Initial and maximum backoff between attempts to register.
const REGISTER_BACKOFF: (Millis, Millis) = (Millis(100), Millis(1600));
/// Maximum time for which the registration waits for the list of VMs, and the period of the check.
const MAX_LIST_WAIT: Millis = Millis(1000);
const LIST_POLL_PERIOD: Millis = Millis(50);

/// Registers this VM, unless the entry of an earlier process still states the same. After a loss of all VMs, each write
/// would be an event for every VM.
pub(crate) async fn register_at_start(shared: Arc<Shared>) {
    let mut waited = Millis::ZERO;
    while waited < MAX_LIST_WAIT && !shared.store_status().loaded.contains(&Family::Vms) {
        Timer::after(LIST_POLL_PERIOD.duration()).await;
        waited += LIST_POLL_PERIOD;
    }
    if shared.fleet().has_entry_of_earlier_process() {
        shared.store_status().is_registered = true;
        log::info!(vm = shared.own_entry.id.as_str(); "registered by an earlier process");
        return;
    }
    register(shared).await;
}

/// Registers this VM. Retries with exponential backoff until the store accepts the entry.
pub(crate) async fn register(shared: Arc<Shared>) {
    let (mut pause, max_pause) = REGISTER_BACKOFF;
    loop {
        let timeout = shared.settings.store_timeout;
        let answer = shared.registry.announce(&shared.own_entry, timeout).await;
        let is_lost = restore::record_epoch(&shared, answer.epoch) == AnswerEpoch::Earlier;
        match answer.outcome {
            WriteOutcome::Created(_) | WriteOutcome::Updated(_) if !is_lost => {
                shared.store_status().is_registered = true;
                log::info!(vm = shared.own_entry.id.as_str(); "registered");
                return;
            }
            outcome => {
                log::warn!(outcome:? = outcome; "not registered");
            }
        }
        Timer::after(pause.duration()).await;
        pause = Millis(pause.0 * 2).min(max_pause);
    }
}

/// Tells other VMs by a heartbeat that this VM is no longer ready, hands its quota tokens over, and removes the entry of this
/// VM from the store. Called when the daemon stops.
pub(crate) async fn withdraw(shared: Arc<Shared>) {
    peers::send_heartbeat(&shared);
    shared.fleet().begin_stop();
    shared.targets().begin_leaving(shared.now());
    peers::exchange_tokens(&shared, shared.now());
    let timeout = shared.settings.store_timeout;
    let answer = shared.registry.withdraw(&shared.own_entry, timeout).await;
    restore::record_epoch(&shared, answer.epoch);
    log::info!(outcome:? = answer.outcome; "registration withdrawn");
}
