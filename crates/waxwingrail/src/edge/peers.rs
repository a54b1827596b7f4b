//! Datagrams between VMs: heartbeats, revisions of changes in the registry, quota tokens, and fingerprints of
//! requests that crashed targets. Also the registration of this VM.
//!
//! A keeper is the VM that manages the quota tokens of a workspace in its failure domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use waxwing_edge::{Keeper, PeerMessage, QuotaPart, Urgent};
use waxwing_store::WriteOutcome;
use waxwing_types::{Micros, Millis, WorkspaceId};

use super::state::Shared;

/// Period of heartbeats. A VM counts as unresponsive after three and a half periods without one.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Period of the exchange of quota tokens, of adjusting each region's share of the requests, and of other
/// periodic work.
const TICK_PERIOD: Duration = Duration::from_millis(250);
/// Number of ticks between two upkeeps of the metrics and the idle connections to targets.
const UPKEEP_TICKS: u64 = 20;
/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum number of keepers of other failure domains that are asked for tokens at once.
const MAX_KEEPERS_ASKED: usize = 2;
/// Maximum number of quota parts in one datagram, so that it fits into one packet.
const MAX_PARTS_PER_DATAGRAM: usize = 16;
/// Initial and maximum backoff between attempts to register.
const REGISTER_BACKOFF: (Millis, Millis) = (Millis(100), Millis(1600));

/// Starts the tasks that receive and send datagrams, run the periodic work and register this VM.
pub(crate) fn spawn_tasks(shared: &Arc<Shared>) -> Vec<Task<()>> {
    let executor = &shared.executor;
    vec![
        executor.spawn(receive_datagrams(Arc::clone(shared))),
        executor.spawn(send_heartbeats(Arc::clone(shared))),
        executor.spawn(run_ticks(Arc::clone(shared))),
        executor.spawn(register(Arc::clone(shared))),
    ]
}

async fn receive_datagrams(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&shared, &buffer[..length], from),
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "datagram not received");
                Timer::after(HEARTBEAT_PERIOD).await;
            }
        }
    }
}

fn handle_datagram(shared: &Arc<Shared>, bytes: &[u8], from: SocketAddr) {
    let message = match serde_json::from_slice(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::debug!(
                from = from.to_string().as_str(), error = error.to_string().as_str();
                "received datagram is not a valid peer message"
            );
            return;
        }
    };
    let now = shared.now();
    match message {
        PeerMessage::Beat {
            vm,
            incarnation,
            ready,
        } => shared.fleet().on_beat(now, &vm, incarnation, ready),
        PeerMessage::Quota { give, ask, urgent } => {
            handle_quota(shared, now, &give, (ask, urgent), from);
        }
        PeerMessage::News { seen } => shared.watch_progress().record_report(now, &seen),
        PeerMessage::Crash { print } => shared.poison().on_crash(now, print),
    }
}

fn handle_quota(
    shared: &Shared,
    now: Millis,
    given: &[QuotaPart],
    (asked, urgent): (Vec<QuotaPart>, bool),
    from: SocketAddr,
) {
    let mut give = Vec::new();
    {
        let prioritized = urgent || shared.fleet().is_near(from);
        let mut quota = shared.quota();
        for part in given {
            quota.credit(now, part);
        }
        for part in asked {
            let amount = if prioritized {
                quota.give(now, &part.workspace, part.amount)
            } else {
                quota.lend(now, &part.workspace, part.amount)
            };
            if amount > Micros::ZERO {
                give.push(QuotaPart { amount, ..part });
            }
        }
    }
    if !give.is_empty() {
        send_quota_parts(shared, give, Vec::new(), from);
    }
}

/// Sends a message to each address. A datagram that cannot be sent immediately is dropped; receivers
/// tolerate lost datagrams anyway.
fn send(shared: &Shared, message: &PeerMessage, to: &[SocketAddr]) {
    let bytes = match serde_json::to_vec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "peer message not serialized");
            return;
        }
    };
    for address in to {
        if let Err(error) = shared.socket.get_ref().send_to(&bytes, address) {
            log::debug!(to = address.to_string().as_str(), error = error.to_string().as_str(); "datagram not sent");
        }
    }
}

async fn send_heartbeats(shared: Arc<Shared>) {
    loop {
        let recipients = send_heartbeat(&shared);
        let store_available = shared.store_status().unavailable.is_empty();
        if store_available && shared.fleet().is_reader(shared.now()) {
            send_revisions(&shared, &recipients);
        }
        Timer::after(HEARTBEAT_PERIOD).await;
    }
}

/// Sends the revisions of the last changes to the VMs of the region, if this VM is the reader of its failure
/// domain.
pub(crate) fn announce_revisions(shared: &Shared) {
    let neighbours = {
        let fleet = shared.fleet();
        if fleet.is_reader(shared.now()) {
            fleet.neighbours()
        } else {
            Vec::new()
        }
    };
    send_revisions(shared, &neighbours);
}

fn send_revisions(shared: &Shared, to: &[SocketAddr]) {
    if !to.is_empty() {
        let seen = shared.watch_progress().last_changes();
        send(shared, &PeerMessage::News { seen }, to);
    }
}

/// Sends a heartbeat and returns the addresses to which it was sent.
fn send_heartbeat(shared: &Shared) -> Vec<SocketAddr> {
    let message = PeerMessage::Beat {
        vm: shared.own_entry.id.clone(),
        incarnation: shared.own_entry.incarnation,
        ready: shared.is_ready(),
    };
    let recipients = shared.fleet().listeners(&mut fastrand::Rng::new());
    send(shared, &message, &recipients);
    recipients
}

async fn run_ticks(shared: Arc<Shared>) {
    let mut ticks = 0_u64;
    loop {
        Timer::after(TICK_PERIOD).await;
        ticks += 1;
        if ticks.is_multiple_of(UPKEEP_TICKS) {
            shared.metrics.run_upkeep();
            shared.client.prune();
        }
        let now = shared.now();
        shared.targets().tick(now);
        super::watch::apply_due_removals(&shared, now);
        super::watch::interrupt_outdated_watches(&shared, now);
        exchange_tokens(&shared, now);
    }
}

/// Exchanges quota tokens with the keepers in this failure domain and, where this VM is a keeper, requests
/// missing tokens from keepers in other failure domains.
fn exchange_tokens(shared: &Shared, now: Millis) {
    let (keeper_updates, shortages) = {
        let fleet = shared.fleet();
        let mut quota = shared.quota();
        let keeper_updates = quota.exchange(now, |workspace| fleet.keeper(now, workspace));
        let shortages = quota.shortages(now);
        let shortages = shortages.into_iter().map(|part| {
            let keepers = fleet.other_keepers(&part.workspace);
            (part, keepers)
        });
        (keeper_updates, shortages.collect::<Vec<_>>())
    };
    for (keeper, update) in keeper_updates {
        send_quota_parts(shared, update.give, update.ask, keeper);
    }
    let mut requests: BTreeMap<SocketAddr, Vec<QuotaPart>> = BTreeMap::new();
    for (part, mut keepers) in shortages {
        // The first keeper is the nearest. The others are asked at random, as any of them may have tokens.
        if let [_, others @ ..] = &mut keepers[..] {
            fastrand::shuffle(others);
        }
        keepers.truncate(MAX_KEEPERS_ASKED);
        let amount = Micros(part.amount.0 / keepers.len().max(1) as u64);
        for keeper in keepers {
            let part = QuotaPart {
                amount,
                ..part.clone()
            };
            requests.entry(keeper).or_default().push(part);
        }
    }
    // A keeper manages the tokens of many workspaces. One datagram per workspace would double the bytes.
    for (keeper, ask) in requests {
        send_quota_parts(shared, Vec::new(), ask, keeper);
    }
}

/// Sends quota parts to a VM, in several datagrams if they do not fit into one.
fn send_quota_parts(
    shared: &Shared,
    mut give: Vec<QuotaPart>,
    mut ask: Vec<QuotaPart>,
    to: SocketAddr,
) {
    while !give.is_empty() || !ask.is_empty() {
        let remaining_give = give.split_off(give.len().min(MAX_PARTS_PER_DATAGRAM));
        let remaining_ask = ask.split_off(ask.len().min(MAX_PARTS_PER_DATAGRAM - give.len()));
        let urgent = false;
        send(shared, &PeerMessage::Quota { give, ask, urgent }, &[to]);
        (give, ask) = (remaining_give, remaining_ask);
    }
}

/// Asks a keeper for a quota token that a request waits for: first the keeper in this failure domain, on a
/// retry one in another failure domain. Returns whether the request should wait for the token.
pub(crate) fn request_token(shared: &Shared, workspace: &WorkspaceId, is_retry: bool) -> bool {
    let now = shared.now();
    let part = match shared.quota().urgent(now, workspace) {
        Urgent::Ask(part) => part,
        Urgent::Wait => return true,
        Urgent::Refuse => return false,
    };
    let keeper = {
        let fleet = shared.fleet();
        match fleet.keeper(now, workspace) {
            Keeper::Other(keeper) if !is_retry => Some(keeper),
            Keeper::Other(_) | Keeper::Own { .. } => {
                fleet.other_keepers(workspace).first().copied()
            }
        }
    };
    if let Some(keeper) = keeper {
        send_urgent_request(shared, part, &[keeper]);
    }
    true
}

/// Asks keepers in other regions for a quota token that a request could not get in its own region.
pub(crate) fn request_remote_tokens(shared: &Shared, workspace: &WorkspaceId) {
    let mut keepers = shared.fleet().far_keepers(workspace);
    fastrand::shuffle(&mut keepers);
    keepers.truncate(MAX_KEEPERS_ASKED);
    let part = QuotaPart {
        workspace: workspace.clone(),
        amount: Micros::from_units(1),
    };
    send_urgent_request(shared, part, &keepers);
}

/// Asks keepers for a quota token that a request waits for.
fn send_urgent_request(shared: &Shared, part: QuotaPart, keepers: &[SocketAddr]) {
    let message = PeerMessage::Quota {
        give: Vec::new(),
        ask: vec![part],
        urgent: true,
    };
    send(shared, &message, keepers);
}

/// Reports the fingerprints of requests that crashed a target to all VMs.
pub(crate) fn report_crashes(shared: &Shared, fingerprints: Vec<u64>) {
    if fingerprints.is_empty() {
        return;
    }
    let recipients = shared.fleet().everyone();
    for print in fingerprints {
        send(shared, &PeerMessage::Crash { print }, &recipients);
    }
}

/// Registers this VM, with retries until the store accepts the entry.
pub(crate) async fn register(shared: Arc<Shared>) {
    let (mut pause, max_pause) = REGISTER_BACKOFF;
    loop {
        let timeout = shared.settings.store_timeout;
        match shared.registry.announce(&shared.own_entry, timeout).await {
            WriteOutcome::Created(_) | WriteOutcome::Updated(_) => {
                shared.store_status().registered = true;
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

/// Sends a heartbeat that this VM is not ready, and removes its entry from the store.
pub(crate) async fn withdraw_registration(shared: Arc<Shared>) {
    send_heartbeat(&shared);
    let timeout = shared.settings.store_timeout;
    let outcome = shared.registry.withdraw(&shared.own_entry, timeout).await;
    log::info!(outcome:? = outcome; "registration withdrawn");
}
