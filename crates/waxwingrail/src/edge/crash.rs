//! Finds out whether a target crashed when the connection of a request to it broke.
//!
//! The process may be slow, may have reset the connection, or may be leaving as planned. It counts as crashed if it refuses
//! connections, or if a later process registers under its id, although it had not said that it leaves.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use waxwing_edge::{Crash, RequestName, SelectedTarget, TargetProcess};
use waxwing_records::Registration;
use waxwing_types::{Incarnation, Millis, TargetId};

use super::forward::endpoint;
use super::peers;
use super::request_names::RequestNames;
use super::state::Shared;

/// Times from one try to connect to the next one. The first leaves the system time to close the port of the process.
const PROBE_DELAYS: [Millis; 3] = [Millis(100), Millis(400), Millis(1000)];

/// Records that the connection to a target broke while it ran a request, and probes the target.
pub(crate) fn on_connection_broken(
    shared: &Arc<Shared>,
    target: &SelectedTarget,
    names: &RequestNames,
) {
    if !is_in_service(shared, target) {
        return;
    }
    let process = TargetProcess::new(&target.id, target.incarnation);
    let now = shared.now();
    let must_probe = shared
        .quarantine()
        .on_connection_broken(now, &names.at_crash(), process);
    if must_probe {
        let task = probe(Arc::clone(shared), target.clone());
        shared.executor.spawn(task).detach();
    }
}

/// Whether a target has neither said that it leaves nor been removed.
fn is_in_service(shared: &Shared, target: &SelectedTarget) -> bool {
    let targets = shared.targets();
    targets.is_in_service(&target.id, target.incarnation)
}

/// Opens a connection to a target until the answer shows whether its process is alive.
async fn probe(shared: Arc<Shared>, target: SelectedTarget) {
    let process = TargetProcess::new(&target.id, target.incarnation);
    for delay in PROBE_DELAYS {
        Timer::after(delay.duration()).await;
        match shared.client.connect(endpoint(&target)).await {
            Ok(()) => {
                shared.quarantine().clear_suspects(process);
                return;
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                if is_in_service(&shared, &target) {
                    on_crash(&shared, &target.id, target.incarnation);
                } else {
                    shared.quarantine().clear_suspects(process);
                }
                return;
            }
            // The target cannot be reached, which says nothing of its process.
            Err(_) => {}
        }
    }
}

/// Looks whether the registration of a target shows that its earlier process has crashed. To be called before it is applied.
pub(crate) fn on_registration(shared: &Shared, registration: &Registration) {
    let crashed = {
        let targets = shared.targets();
        targets.incarnation(&registration.id).filter(|earlier| {
            *earlier < registration.incarnation && targets.is_in_service(&registration.id, *earlier)
        })
    };
    if let Some(earlier) = crashed {
        on_crash(shared, &registration.id, earlier);
    }
}

/// Handles the report of another VM that a process crashed while it was running a request.
pub(crate) fn on_report(shared: &Shared, name: RequestName, crash: Crash, from: SocketAddr) {
    let now = shared.now();
    let excused = shared.quarantine().on_crash_report(now, name, crash);
    peers::report_excused(shared, name, excused, &[from]);
    report_running_requests(shared, crash.process);
}

/// Records that a target has answered a request in whole.
pub(crate) fn on_answer(shared: &Shared, names: &RequestNames) {
    // A target may answer before the end of the body, by which alone the request is known.
    let Some(name) = names.whole() else {
        return;
    };
    let excused = shared.quarantine().on_answer(name);
    if !excused.is_empty() {
        let recipients = shared.fleet().all_peers();
        peers::report_excused(shared, name, excused, &recipients);
    }
}

/// Whether a request is quarantined. The other VMs are told again of the crashes of one that is.
pub(crate) fn must_refuse(shared: &Shared, names: &RequestNames) -> bool {
    let Some(name) = names.whole() else {
        return false;
    };
    let now = shared.now();
    if !shared.quarantine().contains(now, name) {
        return false;
    }
    for name in names.at_crash() {
        let crashes = shared.quarantine().on_copy_refused(now, name);
        peers::report_crashes(shared, name, &crashes);
    }
    true
}

/// Records that a target has crashed.
fn on_crash(shared: &Shared, id: &TargetId, incarnation: Incarnation) {
    let process = TargetProcess::new(id, incarnation);
    let requests = report_running_requests(shared, process);
    if requests > 0 {
        log::info!(target_id = id.as_str(), requests = requests; "target crashed while it ran requests");
    }
}

/// Tells the other VMs which requests of this VM a process was running when it crashed, and returns their number.
fn report_running_requests(shared: &Shared, process: TargetProcess) -> usize {
    let now = shared.now();
    let names = shared.quarantine().on_process_crash(now, process);
    shared.metrics.request_crashes.increment(names.len() as u64);
    for name in names.iter().copied() {
        peers::report_crashes(shared, name, &[Crash { process, at: now }]);
    }
    names.len()
}
