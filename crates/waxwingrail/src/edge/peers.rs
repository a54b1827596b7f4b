//! Datagrams between VMs: heartbeats, tokens of quotas, and requests that crashed targets.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;

use async_io::{Async, Timer};
use waxwing_edge::PeerMessage;
use waxwing_store::WriteOutcome;
use waxwing_types::{Micros, Millis, WorkspaceId};

use super::state::Shared;

/// Period of heartbeats. A VM counts as silent after three and a half of them.
const BEAT_PERIOD: Duration = Duration::from_secs(1);
/// Period in which needs of tokens and the parts of regions are looked at.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Greatest datagram.
const MAX_DATAGRAM: usize = 1200;
/// VMs of other regions that are asked for tokens at once.
const DISTANT_ASKED: usize = 3;
/// Pauses between attempts to register, doubled up to the greatest.
const REGISTER_PAUSES: (Millis, Millis) = (Millis(100), Millis(1600));

/// Starts the tasks.
pub(crate) fn start(shared: &Arc<Shared>, socket: Arc<Async<UdpSocket>>) -> Vec<Task<()>> {
    shared.set_socket(socket.clone());
    let executor = &shared.executor;
    vec![
        executor.spawn(receive(Arc::clone(shared), socket)),
        executor.spawn(beat(Arc::clone(shared))),
        executor.spawn(tick(Arc::clone(shared))),
        executor.spawn(register(Arc::clone(shared))),
    ]
}

async fn receive(shared: Arc<Shared>, socket: Arc<Async<UdpSocket>>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
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
        PeerMessage::Beat {
            vm,
            incarnation,
            ready,
        } => shared.fleet().on_beat(now, &vm, incarnation, ready),
        PeerMessage::Ask {
            workspace,
            amount,
            urgent,
        } => {
            let amount = shared.quota().give(now, &workspace, amount, urgent);
            if amount > Micros::ZERO {
                send(shared, &PeerMessage::Give { workspace, amount }, &[from]);
            }
        }
        PeerMessage::Give { workspace, amount } => {
            shared.quota().credit(now, &workspace, amount);
        }
        PeerMessage::Crash { print } => shared.poison().on_crash(now, print),
    }
}

/// Sends a message to each address. A datagram that cannot be sent at once is lost like others.
fn send(shared: &Shared, message: &PeerMessage, to: &[SocketAddr]) {
    let Some(socket) = shared.socket() else {
        return;
    };
    let bytes = match serde_json::to_vec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "datagram not written");
            return;
        }
    };
    for address in to {
        if let Err(error) = socket.get_ref().send_to(&bytes, address) {
            log::debug!(to = address.to_string().as_str(), error = error.to_string().as_str(); "datagram not sent");
        }
    }
}

async fn beat(shared: Arc<Shared>) {
    loop {
        send_beat(&shared);
        Timer::after(BEAT_PERIOD).await;
    }
}

fn send_beat(shared: &Shared) {
    let message = PeerMessage::Beat {
        vm: shared.own.id.clone(),
        incarnation: shared.own.incarnation,
        ready: shared.is_ready(),
    };
    let neighbours = shared.fleet().neighbours();
    send(shared, &message, &neighbours);
}

async fn tick(shared: Arc<Shared>) {
    loop {
        Timer::after(TICK_PERIOD).await;
        let now = shared.now();
        shared.targets().tick(now);
        super::watch::settle(&shared, now);
        ask(&shared, now);
    }
}

/// Asks for the tokens that are needed soon.
fn ask(shared: &Shared, now: Millis) {
    let needs = shared.quota().needs(now);
    if needs.is_empty() {
        return;
    }
    let (neighbours, distant) = {
        let fleet = shared.fleet();
        (fleet.neighbours(), fleet.distant())
    };
    for need in needs {
        let mut to = neighbours.clone();
        for _ in 0..DISTANT_ASKED.min(distant.len()) {
            to.push(distant[fastrand::usize(..distant.len())]);
        }
        let part = (need.amount.0 * 2 / to.len().max(1) as u64).max(Micros::PER_UNIT / 2);
        let message = PeerMessage::Ask {
            workspace: need.workspace,
            amount: Micros(part),
            urgent: false,
        };
        send(shared, &message, &to);
    }
}

/// Asks the neighbours for a token that a request waits for.
pub(crate) fn ask_for(shared: &Shared, workspace: &WorkspaceId) {
    let need = shared.quota().need_of(shared.now(), workspace);
    if let Some(need) = need {
        let neighbours = shared.fleet().neighbours();
        let message = PeerMessage::Ask {
            workspace: need.workspace,
            amount: need.amount,
            urgent: true,
        };
        send(shared, &message, &neighbours);
    }
}

/// Tells all VMs of requests that crashed a target.
pub(crate) fn report_crashes(shared: &Shared, prints: Vec<u64>) {
    if prints.is_empty() {
        return;
    }
    let to = {
        let fleet = shared.fleet();
        let mut to = fleet.neighbours();
        to.extend(fleet.distant());
        to
    };
    for print in prints {
        send(shared, &PeerMessage::Crash { print }, &to);
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
