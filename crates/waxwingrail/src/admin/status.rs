//! `GET /v1/status`: current state of this daemon.

use serde::Serialize;
use waxwing_types::Millis;

use crate::state::Shared;

#[derive(Serialize)]
struct RejectedRecord {
    path: String,
    version: u64,
    findings: Vec<String>,
}

#[derive(Serialize)]
struct EjectedTarget {
    service: String,
    target: String,
}

#[derive(Serialize)]
struct Status {
    vm: String,
    domain: String,
    region: String,
    incarnation: u64,
    version: &'static str,
    ready: bool,
    stopping: bool,
    /// Revision of the configuration in use.
    revision: u64,
    /// Time in ms since the configuration was last known to be the newest; absent if it never was.
    age_ms: Option<u64>,
    /// Whether this VM watches the store itself.
    watcher: bool,
    /// VMs of the failure domain that respond and are not leaving.
    live: usize,
    /// VMs of the failure domain that respond and are leaving.
    leaving: usize,
    shards: usize,
    running: usize,
    queued: usize,
    ejected: Vec<EjectedTarget>,
    /// Records whose newest version is invalid.
    rejected: Vec<RejectedRecord>,
    /// References from records in use to records that are not in use or do not exist.
    findings: Vec<String>,
}

/// Renders the status as JSON.
pub(super) fn render(shared: &Shared) -> String {
    serde_json::to_string(&current_status(shared)).unwrap_or_default()
}

fn current_status(shared: &Shared) -> Status {
    let settings = &shared.settings;
    let ready = shared.is_ready();
    let config = shared.config();
    let fleet = shared.fleet();
    let shards = shared.rate_limiter().owned_shards().len();
    let queued = shared.queue().len();
    let now = shared.now();
    let ejected = ejected_targets(shared, now);
    let (live, leaving) = fleet.members.live_and_leaving(now);
    let age = config.age(now);
    Status {
        vm: settings.vm.to_string(),
        domain: settings.domain.to_string(),
        region: settings.region.to_string(),
        incarnation: shared.incarnation.0,
        version: env!("CARGO_PKG_VERSION"),
        ready,
        stopping: shared.is_stopping(),
        revision: config.revision().0,
        age_ms: (age != Millis::MAX).then_some(age.0),
        watcher: fleet.members.is_watcher(now),
        live,
        leaving,
        shards,
        running: shared.running_requests(),
        queued,
        ejected,
        rejected: rejected_records(&config),
        findings: messages(&config.cross_record_findings()),
    }
}

fn ejected_targets(shared: &Shared, now: Millis) -> Vec<EjectedTarget> {
    let targets = shared.targets();
    let ejected = targets.ejected(now);
    let view =
        |(service, target): (&waxwing_types::ServiceId, &waxwing_types::TargetId)| EjectedTarget {
            service: service.to_string(),
            target: target.to_string(),
        };
    ejected.map(view).collect()
}

fn rejected_records(config: &waxwing_core::Config) -> Vec<RejectedRecord> {
    let view = |(path, version, findings): (&str, waxwing_types::Revision, &_)| RejectedRecord {
        path: path.to_owned(),
        version: version.0,
        findings: messages(findings),
    };
    config.rejected_records().map(view).collect()
}

fn messages(findings: &waxwing_records::Findings) -> Vec<String> {
    findings.0.iter().map(ToString::to_string).collect()
}
