//! Datagrams between VMs: heartbeats, how far readers have followed the registry, tokens of quotas, and requests
//! that crashed targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use waxwing_edge::{NoTokenAction, PeerMessage, QuotaCoordinator, WorkspaceTokens};
use waxwing_store::WriteOutcome;
use waxwing_types::{Micros, Millis, WorkspaceId};

use super::state::Shared;

/// Period of heartbeats. A VM counts as silent after three and a half of them.
const BEAT_PERIOD: Duration = Duration::from_secs(1);
/// Period in which tokens are exchanged and the parts of regions are looked at.
const TICK_PERIOD: Duration = Duration::from_millis(250);
/// Ticks between two rounds that condense metrics and close idle connections whose time is over.
const UPKEEP_TICKS: u64 = 20;
/// Greatest datagram.
const MAX_DATAGRAM: usize = 1200;
/// Keepers of other failure domains that are asked for tokens at once.
const KEEPERS_ASKED: usize = 2;
/// Parts in one datagram, so that it fits one packet.
const MAX_PARTS: usize = 16;
/// Pauses between attempts to register, doubled up to the greatest.
const REGISTER_PAUSES: (Millis, Millis) = (Millis(100), Millis(1600));

/// Starts the tasks.
pub(crate) fn start(shared: &Arc<Shared>) -> Vec<Task<()>> {
    let executor = &shared.executor;
    vec![
        executor.spawn(receive(Arc::clone(shared))),
        executor.spawn(beat(Arc::clone(shared))),
        executor.spawn(tick(Arc::clone(shared))),
        executor.spawn(register(Arc::clone(shared))),
    ]
}

async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => on_datagram(&shared, &buffer[..length], from),
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "datagram not received");
                Timer::after(BEAT_PERIOD).await;
            }
        }
    }
}

fn on_datagram(shared: &Arc<Shared>, bytes: &[u8], from: SocketAddr) {
    let message = match serde_json::from_slice(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::debug!(
                from = from.to_string().as_str(), error = error.to_string().as_str();
                "datagram not read"
            );
            return;
        }
    };
    let now = shared.now();
    match message {
        PeerMessage::Heartbeat {
            vm,
            incarnation,
            ready,
        } => shared.fleet().on_heartbeat(now, &vm, incarnation, ready),
        PeerMessage::Quota {
            granted: give,
            requested: ask,
            urgent,
        } => {
            on_quota(shared, now, &give, (ask, urgent), from);
        }
        PeerMessage::WatchProgress { revisions: seen } => shared.news().heard(now, &seen),
        PeerMessage::TargetCrash { fingerprint: print } => {
            shared.poison().on_target_crash(now, print);
        }
    }
}

fn on_quota(
    shared: &Shared,
    now: Millis,
    given: &[WorkspaceTokens],
    (asked, urgent): (Vec<WorkspaceTokens>, bool),
    from: SocketAddr,
) {
    let mut give = Vec::new();
    {
        let near = urgent || shared.fleet().is_in_own_domain(from);
        let mut quota = shared.quota();
        for part in given {
            quota.credit(now, part);
        }
        for part in asked {
            let amount = if near {
                quota.grant(now, &part.workspace, part.amount)
            } else {
                quota.grant_surplus(now, &part.workspace, part.amount)
            };
            if amount > Micros::ZERO {
                give.push(WorkspaceTokens { amount, ..part });
            }
        }
    }
    if !give.is_empty() {
        send_parts(shared, give, Vec::new(), from);
    }
}

/// Sends a message to each address. A datagram that cannot be sent at once is lost like others.
fn send(shared: &Shared, message: &PeerMessage, to: &[SocketAddr]) {
    let bytes = match serde_json::to_vec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "datagram not written");
            return;
        }
    };
    for address in to {
        if let Err(error) = shared.socket.get_ref().send_to(&bytes, address) {
            log::debug!(to = address.to_string().as_str(), error = error.to_string().as_str(); "datagram not sent");
        }
    }
}

async fn beat(shared: Arc<Shared>) {
    loop {
        let listeners = send_beat(&shared);
        let answered = shared.store().failing.is_empty();
        if answered && shared.fleet().is_store_reader(shared.now()) {
            send_news(&shared, &listeners);
        }
        Timer::after(BEAT_PERIOD).await;
    }
}

/// Tells the VMs of the region what the reader of this failure domain has seen.
pub(crate) fn spread_news(shared: &Shared) {
    let neighbours = {
        let fleet = shared.fleet();
        if fleet.is_store_reader(shared.now()) {
            fleet.region_peers()
        } else {
            Vec::new()
        }
    };
    send_news(shared, &neighbours);
}

fn send_news(shared: &Shared, to: &[SocketAddr]) {
    if !to.is_empty() {
        let seen = shared.news().seen();
        send(shared, &PeerMessage::WatchProgress { revisions: seen }, to);
    }
}

/// Returns the addresses to which the heartbeat was sent.
fn send_beat(shared: &Shared) -> Vec<SocketAddr> {
    let message = PeerMessage::Heartbeat {
        vm: shared.own.id.clone(),
        incarnation: shared.own.incarnation,
        ready: shared.is_ready(),
    };
    let listeners = shared.fleet().heartbeat_peers(&mut fastrand::Rng::new());
    send(shared, &message, &listeners);
    listeners
}

async fn tick(shared: Arc<Shared>) {
    let mut ticks = 0_u64;
    loop {
        Timer::after(TICK_PERIOD).await;
        ticks += 1;
        if ticks.is_multiple_of(UPKEEP_TICKS) {
            shared.metrics.condense();
            shared.client.prune();
        }
        let now = shared.now();
        shared.targets().tick(now);
        super::watch::settle(&shared, now);
        super::watch::wake(&shared, now);
        exchange(&shared, now);
    }
}

/// Exchanges tokens with the keepers of the failure domain, and as a keeper with those of others.
fn exchange(shared: &Shared, now: Millis) {
    let (news, shortages) = {
        let fleet = shared.fleet();
        let mut quota = shared.quota();
        let news =
            quota.prepare_exchanges(now, |workspace| fleet.quota_coordinator(now, workspace));
        let shortages = quota.shortages(now);
        let shortages = shortages.into_iter().map(|part| {
            let keepers = fleet.other_domain_coordinators(&part.workspace);
            (part, keepers)
        });
        (news, shortages.collect::<Vec<_>>())
    };
    for (keeper, news) in news {
        send_parts(shared, news.granted, news.requested, keeper);
    }
    let mut asks: BTreeMap<SocketAddr, Vec<WorkspaceTokens>> = BTreeMap::new();
    for (part, mut keepers) in shortages {
        // The first one is the nearest, any other may have what the region lacks.
        if let [_, others @ ..] = &mut keepers[..] {
            fastrand::shuffle(others);
        }
        keepers.truncate(KEEPERS_ASKED);
        let amount = Micros(part.amount.0 / keepers.len().max(1) as u64);
        for keeper in keepers {
            let part = WorkspaceTokens {
                amount,
                ..part.clone()
            };
            asks.entry(keeper).or_default().push(part);
        }
    }
    // One keeper keeps the tokens of many workspaces: a datagram for each would double the bytes.
    for (keeper, ask) in asks {
        send_parts(shared, Vec::new(), ask, keeper);
    }
}

/// Sends parts in as many datagrams as they need.
fn send_parts(
    shared: &Shared,
    mut give: Vec<WorkspaceTokens>,
    mut ask: Vec<WorkspaceTokens>,
    to: SocketAddr,
) {
    while !give.is_empty() || !ask.is_empty() {
        let later_give = give.split_off(give.len().min(MAX_PARTS));
        let later_ask = ask.split_off(ask.len().min(MAX_PARTS - give.len()));
        let urgent = false;
        send(
            shared,
            &PeerMessage::Quota {
                granted: give,
                requested: ask,
                urgent,
            },
            &[to],
        );
        (give, ask) = (later_give, later_ask);
    }
}

/// Asks for a token that a request waits for: the keeper of the failure domain first, then one of
/// another. Returns whether it is worth the wait.
pub(crate) fn ask_for(shared: &Shared, workspace: &WorkspaceId, again: bool) -> bool {
    let now = shared.now();
    let part = match shared.quota().on_no_token(now, workspace) {
        NoTokenAction::RequestTokens(part) => part,
        NoTokenAction::Wait => return true,
        NoTokenAction::Refuse => return false,
    };
    let keeper = {
        let fleet = shared.fleet();
        match fleet.quota_coordinator(now, workspace) {
            QuotaCoordinator::Remote(keeper) if !again => Some(keeper),
            QuotaCoordinator::Remote(_) | QuotaCoordinator::Local { .. } => {
                fleet.other_domain_coordinators(workspace).first().copied()
            }
        }
    };
    if let Some(keeper) = keeper {
        ask_urgently(shared, part, &[keeper]);
    }
    true
}

/// Asks keepers of other regions for the token of a request that found none in its own region.
pub(crate) fn ask_far(shared: &Shared, workspace: &WorkspaceId) {
    let mut keepers = shared.fleet().other_region_coordinators(workspace);
    fastrand::shuffle(&mut keepers);
    keepers.truncate(KEEPERS_ASKED);
    let part = WorkspaceTokens {
        workspace: workspace.clone(),
        amount: Micros::from_units(1),
    };
    ask_urgently(shared, part, &keepers);
}

/// Asks for a token that a request waits for.
fn ask_urgently(shared: &Shared, part: WorkspaceTokens, keepers: &[SocketAddr]) {
    let message = PeerMessage::Quota {
        granted: Vec::new(),
        requested: vec![part],
        urgent: true,
    };
    send(shared, &message, keepers);
}

/// Tells all VMs of requests that crashed a target.
pub(crate) fn report_crashes(shared: &Shared, prints: Vec<u64>) {
    if prints.is_empty() {
        return;
    }
    let to = shared.fleet().all_peers();
    for print in prints {
        send(
            shared,
            &PeerMessage::TargetCrash { fingerprint: print },
            &to,
        );
    }
}

/// Registers this VM, until the store has taken it.
pub(crate) async fn register(shared: Arc<Shared>) {
    let (mut pause, most) = REGISTER_PAUSES;
    loop {
        let timeout = shared.settings.store_timeout;
        match shared.registry.announce(&shared.own, timeout).await {
            WriteOutcome::Created(_) | WriteOutcome::Updated(_) => {
                shared.store().registered = true;
                log::info!(vm = shared.own.id.as_str(); "registered");
                return;
            }
            outcome => {
                log::warn!(outcome:? = outcome; "not registered");
            }
        }
        Timer::after(pause.duration()).await;
        pause = Millis(pause.0 * 2).min(most);
    }
}

/// Tells neighbours and store that this VM leaves.
pub(crate) async fn withdraw(shared: Arc<Shared>) {
    send_beat(&shared);
    let timeout = shared.settings.store_timeout;
    let outcome = shared.registry.withdraw(&shared.own, timeout).await;
    log::info!(outcome:? = outcome; "registration withdrawn");
}
