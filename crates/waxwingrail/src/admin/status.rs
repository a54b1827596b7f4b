//! `GET /v1/status`: the state of this daemon.

use serde::Serialize;
use waxwing_types::Millis;

use crate::state::Shared;

#[derive(Serialize)]
struct Rejected {
    path: String,
    version: u64,
    findings: Vec<String>,
}

#[derive(Serialize)]
struct Ejected {
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
    /// Revision in force.
    revision: u64,
    /// Age of the configuration in ms, absent if the store was never heard of.
    age_ms: Option<u64>,
    watcher: bool,
    /// VMs of the failure domain that respond and stay.
    live: usize,
    /// VMs of the failure domain that respond and are leaving.
    leaving: usize,
    shards: usize,
    running: usize,
    queued: usize,
    ejected: Vec<Ejected>,
    /// Records whose newest version is invalid.
    rejected: Vec<Rejected>,
    /// References between records that lead nowhere.
    findings: Vec<String>,
}

pub(super) fn render(shared: &Shared) -> String {
    serde_json::to_string(&collect(shared)).unwrap_or_default()
}

fn collect(shared: &Shared) -> Status {
    let settings = &shared.settings;
    let ready = shared.is_ready();
    let config = shared.config();
    let fleet = shared.fleet();
    let shards = shared.rate_limiter().owned_shards().len();
    let queued = shared.queue().len();
    let now = shared.now();
    let ejected = ejected(shared, now);
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
        rejected: rejected(&config),
        findings: lines(&config.cross_record_findings()),
    }
}

fn ejected(shared: &Shared, now: Millis) -> Vec<Ejected> {
    let targets = shared.targets();
    let ejected = targets.ejected(now);
    let name = |(service, target): (&waxwing_types::ServiceId, &waxwing_types::TargetId)| Ejected {
        service: service.to_string(),
        target: target.to_string(),
    };
    ejected.map(name).collect()
}

fn rejected(config: &waxwing_core::Config) -> Vec<Rejected> {
    let entry = |(path, version, findings): (&str, waxwing_types::Revision, &_)| Rejected {
        path: path.to_owned(),
        version: version.0,
        findings: lines(findings),
    };
    config.rejected_records().map(entry).collect()
}

fn lines(findings: &waxwing_records::Findings) -> Vec<String> {
    findings.0.iter().map(ToString::to_string).collect()
}
