//! Datagrams between VMs: heartbeats, revisions of changes in the registry, quota tokens, and names of requests that
//! crashed targets.
//!
//! Each admitted request takes one quota token of its workspace. In each failure domain, one VM is the
//! coordinator of a workspace: it distributes the tokens of the workspace to the VMs. Another role is that of the
//! store reader: the one VM of a failure domain that watches the latest state of the store and sends the revisions
//! of changes to the other VMs of the region.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use waxwing_edge::{
    Crash, Datagram, NoTokenAction, PeerMessage, QuotaCoordinator, RequestName, TargetProcess,
    WorkspaceTokens,
};
use waxwing_types::{Micros, Millis, WorkspaceId};

use super::crash;
use super::patch;
use super::state::Shared;

/// Period of heartbeats. Other VMs treat a VM as down after three and a half periods without a heartbeat.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum size of a received datagram.
pub(super) const MAX_DATAGRAM_BYTES: usize = 10_000;
/// Maximum number of coordinators in other failure domains that are asked for tokens of a workspace at once.
const MAX_COORDINATORS_ASKED: usize = 2;
/// Maximum number of targets in a heartbeat. Each has up to 39 bytes, the rest of the heartbeat about 100.
const MAX_OBSERVATIONS: usize = 24;
/// Maximum number of [`WorkspaceTokens`] in one datagram. A larger datagram may not fit into one packet.
const MAX_TOKEN_ENTRIES: usize = 16;

/// Starts the tasks of this module: receipt of datagrams and heartbeats.
pub(crate) fn spawn_tasks(shared: &Arc<Shared>) -> Vec<Task<()>> {
    let executor = &shared.executor;
    vec![
        executor.spawn(receive_datagrams(Arc::clone(shared))),
        executor.spawn(send_heartbeats(Arc::clone(shared))),
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
    let datagram: Datagram = match serde_json::from_slice(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!(
                from = from.to_string().as_str(), error = error.to_string().as_str();
                "received datagram is not a valid peer message"
            );
            return;
        }
    };
    let now = shared.now();
    if !shared.datagram_filter().accept(now, from, &datagram) {
        log::debug!(from = from.to_string().as_str(), number = datagram.number; "datagram repeated or too late");
        return;
    }
    match datagram.message {
        PeerMessage::Heartbeat {
            vm,
            incarnation,
            ready,
            targets,
        } => {
            let is_change = shared.fleet().on_heartbeat(now, &vm, incarnation, ready);
            if is_change {
                // The tokens of a stopping coordinator follow its heartbeat.
                assign_coordinators(shared, now);
            }
            shared.targets().apply_observations(now, &targets);
        }
        PeerMessage::Quota {
            granted,
            requested,
            urgent,
        } => {
            handle_quota(shared, now, &granted, (requested, urgent), from);
        }
        PeerMessage::StateReport(report) => {
            shared.watch_progress().record_report(now, &report);
        }
        PeerMessage::DeploymentPatch {
            epoch,
            revision,
            patch,
        } => patch::on_patch(shared, (epoch, revision), &patch, (from, bytes.len())),
        PeerMessage::TargetAlerts { alerts } => shared.targets().apply_alerts(now, &alerts),
        PeerMessage::TargetCrash { name, process, age } => {
            let at = Millis(now.0.saturating_sub(age.0));
            crash::on_report(shared, name, Crash { process, at }, from);
        }
        PeerMessage::CrashesExcused { name, processes } => {
            shared.quarantine().on_excuse_report(now, name, &processes);
        }
    }
}

/// Adds the granted tokens to those of this VM, and replies with tokens of this VM if tokens are requested.
/// `urgent` means that a request of a caller waits for the tokens at the sender. If the sender is in another failure
/// domain and `urgent` is false, the sender gets only tokens that this failure domain does not need soon.
fn handle_quota(
    shared: &Shared,
    now: Millis,
    granted: &[WorkspaceTokens],
    (requested, urgent): (Vec<WorkspaceTokens>, bool),
    from: SocketAddr,
) {
    let mut granted_in_reply = Vec::new();
    {
        let prioritized = urgent || shared.fleet().is_in_own_domain(from);
        let mut quota = shared.quota();
        for tokens in granted {
            quota.credit(now, tokens);
        }
        for tokens in requested {
            let amount = if prioritized {
                quota.grant(now, &tokens.workspace, tokens.amount)
            } else {
                quota.grant_surplus(now, &tokens.workspace, tokens.amount)
            };
            if amount > Micros::ZERO {
                granted_in_reply.push(WorkspaceTokens { amount, ..tokens });
            }
        }
    }
    if !granted_in_reply.is_empty() {
        send_quota_tokens(shared, granted_in_reply, Vec::new(), from);
    }
}

/// Sends a message to each address. A datagram that cannot be sent immediately is dropped, because receivers
/// must tolerate lost datagrams in any case. Returns the size of the datagram.
pub(crate) fn send(shared: &Shared, message: PeerMessage, to: &[SocketAddr]) -> usize {
    let datagram = Datagram {
        process: Some(shared.own_entry.incarnation),
        number: Some(shared.datagram_number.fetch_add(1, Ordering::Relaxed) + 1),
        message,
    };
    let bytes = match serde_json::to_vec(&datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "peer message not serialized");
            return 0;
        }
    };
    for address in to {
        if let Err(error) = shared.socket.get_ref().send_to(&bytes, address) {
            log::debug!(to = address.to_string().as_str(), error = error.to_string().as_str(); "datagram not sent");
        }
    }
    bytes.len()
}

async fn send_heartbeats(shared: Arc<Shared>) {
    loop {
        send_heartbeat(&shared);
        Timer::after(HEARTBEAT_PERIOD).await;
    }
}

/// Peer addresses of the other VMs of the region if this VM is the store reader of its failure domain, none otherwise.
pub(crate) fn region_peers_of_reader(shared: &Shared) -> Vec<SocketAddr> {
    let fleet = shared.fleet();
    if fleet.is_store_reader(shared.now()) {
        fleet.region_peers()
    } else {
        Vec::new()
    }
}

/// Reports the state of this VM to the VMs of the region if this VM is the store reader of its failure domain. Otherwise does
/// nothing.
pub(crate) fn report_state_as_reader(shared: &Shared) {
    let region_peers = region_peers_of_reader(shared);
    if !region_peers.is_empty() {
        let report = shared.watch_progress().report(shared.now());
        send(shared, PeerMessage::StateReport(report), &region_peers);
    }
}

/// Sends a heartbeat to other VMs.
pub(crate) fn send_heartbeat(shared: &Shared) {
    let message = PeerMessage::Heartbeat {
        vm: shared.own_entry.id.clone(),
        incarnation: shared.own_entry.incarnation,
        ready: shared.is_ready(),
        targets: shared
            .targets()
            .take_observations(shared.now(), MAX_OBSERVATIONS),
    };
    let recipients = shared.fleet().heartbeat_peers(&mut fastrand::Rng::new());
    send(shared, message, &recipients);
}

/// Determines the quota coordinator of each workspace from the known VMs. Does nothing before about all VMs are known.
pub(crate) fn assign_coordinators(shared: &Shared, now: Millis) {
    if !shared.knows_vms() {
        return;
    }
    let fleet = shared.fleet();
    let mut quota = shared.quota();
    let coordinator_of = |workspace: &WorkspaceId| fleet.quota_coordinator(now, workspace);
    quota.assign_coordinators(now, fleet.vm_count(), coordinator_of);
}

/// Exchanges quota tokens with the coordinators in this failure domain. For workspaces whose coordinator is this
/// VM, requests missing tokens from coordinators in other failure domains.
pub(crate) fn exchange_tokens(shared: &Shared, now: Millis) {
    if !shared.quota().is_divided() {
        assign_coordinators(shared, now);
    }
    let (exchanges, shortages) = {
        let fleet = shared.fleet();
        let mut quota = shared.quota();
        let exchanges =
            quota.prepare_exchanges(now, |workspace| fleet.quota_coordinator(now, workspace));
        let shortages = quota.take_shortages(now);
        let shortages = shortages.into_iter().map(|shortage| {
            let coordinators = fleet.other_domain_coordinators(&shortage.workspace);
            (shortage, coordinators)
        });
        (exchanges, shortages.collect::<Vec<_>>())
    };
    for (coordinator, exchange) in exchanges {
        send_quota_tokens(shared, exchange.granted, exchange.requested, coordinator);
    }
    let mut token_requests: BTreeMap<SocketAddr, Vec<WorkspaceTokens>> = BTreeMap::new();
    for (shortage, mut coordinators) in shortages {
        // The first coordinator is the nearest, and is always asked. The others are equally likely to have
        // tokens, so they are asked in random order.
        if let [_, others @ ..] = &mut coordinators[..] {
            fastrand::shuffle(others);
        }
        coordinators.truncate(MAX_COORDINATORS_ASKED);
        let amount = Micros(shortage.amount.0 / coordinators.len().max(1) as u64);
        for coordinator in coordinators {
            let tokens = WorkspaceTokens {
                amount,
                ..shortage.clone()
            };
            token_requests.entry(coordinator).or_default().push(tokens);
        }
    }
    // A VM may be the coordinator of many workspaces. One datagram for each workspace would double the bytes.
    for (coordinator, requested) in token_requests {
        send_quota_tokens(shared, Vec::new(), requested, coordinator);
    }
}

/// Sends granted and requested quota tokens to a VM, in several datagrams if necessary.
fn send_quota_tokens(
    shared: &Shared,
    mut granted: Vec<WorkspaceTokens>,
    mut requested: Vec<WorkspaceTokens>,
    to: SocketAddr,
) {
    while !granted.is_empty() || !requested.is_empty() {
        let remaining_granted = granted.split_off(granted.len().min(MAX_TOKEN_ENTRIES));
        let remaining_requested =
            requested.split_off(requested.len().min(MAX_TOKEN_ENTRIES - granted.len()));
        let urgent = false;
        send(
            shared,
            PeerMessage::Quota {
                granted,
                requested,
                urgent,
            },
            &[to],
        );
        (granted, requested) = (remaining_granted, remaining_requested);
    }
}

/// Asks a coordinator for a quota token for a waiting request of a caller. The first time, the coordinator in this
/// failure domain is asked. On a retry, or if this VM is that coordinator, the nearest coordinator in another
/// failure domain is asked. Returns whether the caller's request should wait for the token.
pub(crate) fn request_token(shared: &Shared, workspace: &WorkspaceId, is_retry: bool) -> bool {
    let now = shared.now();
    let tokens = match shared.quota().on_no_token(now, workspace) {
        NoTokenAction::RequestTokens(tokens) => tokens,
        NoTokenAction::Wait => return true,
        NoTokenAction::Refuse => return false,
    };
    let coordinator = {
        let fleet = shared.fleet();
        match fleet.quota_coordinator(now, workspace) {
            QuotaCoordinator::Remote(coordinator) if !is_retry => Some(coordinator),
            QuotaCoordinator::Remote(_) | QuotaCoordinator::Local { .. } => {
                fleet.other_domain_coordinators(workspace).first().copied()
            }
        }
    };
    if let Some(coordinator) = coordinator {
        send_urgent_token_request(shared, tokens, &[coordinator]);
    }
    true
}

/// Asks coordinators in other regions for a quota token for a request of a caller that got none in this region.
pub(crate) fn request_token_from_other_regions(shared: &Shared, workspace: &WorkspaceId) {
    let mut coordinators = shared.fleet().other_region_coordinators(workspace);
    fastrand::shuffle(&mut coordinators);
    coordinators.truncate(MAX_COORDINATORS_ASKED);
    let tokens = WorkspaceTokens {
        workspace: workspace.clone(),
        amount: Micros::from_units(1),
    };
    send_urgent_token_request(shared, tokens, &coordinators);
}

/// Asks coordinators for quota tokens that a request of a caller waits for.
fn send_urgent_token_request(
    shared: &Shared,
    tokens: WorkspaceTokens,
    coordinators: &[SocketAddr],
) {
    let message = PeerMessage::Quota {
        granted: Vec::new(),
        requested: vec![tokens],
        urgent: true,
    };
    send(shared, message, coordinators);
}

/// Tells all VMs that processes crashed while they were running a request.
pub(crate) fn report_crashes(shared: &Shared, name: RequestName, crashes: &[Crash]) {
    let recipients = shared.fleet().all_peers();
    for crash in crashes {
        let message = PeerMessage::TargetCrash {
            name,
            process: crash.process,
            age: shared.now().since(crash.at),
        };
        send(shared, message, &recipients);
    }
}

/// Tells VMs that a request did not cause the crashes of processes.
pub(crate) fn report_excused(
    shared: &Shared,
    name: RequestName,
    processes: Vec<TargetProcess>,
    recipients: &[SocketAddr],
) {
    if !processes.is_empty() {
        let message = PeerMessage::CrashesExcused { name, processes };
        send(shared, message, recipients);
    }
}
