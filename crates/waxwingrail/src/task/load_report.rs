//! Collects the load reports of targets.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_lite::future;
use hyper::Request;
use serde::Deserialize;
use waxwing_core::LoadReport;
use waxwing_http::{Endpoint, collect, empty};
use waxwing_types::{Millis, ServiceId, TargetId};

use super::{TaskContext, pause};
use crate::state::Shared;

/// Timeout for a load report. A report that arrives later does not describe the current load.
const REPORT_TIMEOUT: Millis = Millis(500);
/// Maximum size of a load report in bytes.
const MAX_REPORT_BYTES: usize = 4096;

/// Minimum slot usage that is assumed for a draining target, in thousandths.
const DRAINING_USAGE: u32 = 2000;

/// Load report as a target sends it.
#[derive(Deserialize)]
struct Report {
    running: u32,
    slots: u32,
    #[serde(default)]
    draining: bool,
}

impl Report {
    /// Slots in use, in thousandths. A draining target counts as overloaded, so that it gets as few
    /// requests as a load report can bring about, until the configuration marks it as leaving.
    fn used_permille(&self) -> u32 {
        let used = u64::from(self.running) * 1000 / u64::from(self.slots.max(1));
        let used = u32::try_from(used).unwrap_or(u32::MAX);
        if self.draining {
            used.max(DRAINING_USAGE)
        } else {
            used
        }
    }
}

/// A target that is asked for its load.
struct PolledTarget {
    service: ServiceId,
    name: TargetId,
    address: SocketAddr,
}

/// Asks each target in the region of this VM for its load, with the requests spread over the period.
pub(super) async fn run(ctx: TaskContext) {
    let shared = &ctx.shared;
    let period = shared.settings.load_period;
    loop {
        let targets = polled_targets(shared);
        let interval = Millis(period.0 / (targets.len() as u64).max(1));
        if targets.is_empty() {
            pause(period).await;
        }
        for target in targets {
            let shared = Arc::clone(shared);
            let executor = Arc::clone(&shared.executor);
            executor
                .spawn(async move { poll(&shared, target).await })
                .detach();
            pause(interval).await;
        }
    }
}

/// Targets in the region of this VM that are not leaving.
fn polled_targets(shared: &Shared) -> Vec<PolledTarget> {
    let config = shared.config();
    let own_region = shared.steering.own_region(&config);
    let mut targets = Vec::new();
    for (service, record) in config.services() {
        let in_region = record.targets.iter().filter(|t| !t.leaving);
        let in_region = in_region.filter(|t| config.region_of(&t.domain) == own_region);
        targets.extend(in_region.map(|t| PolledTarget {
            service: service.clone(),
            name: t.name.clone(),
            address: t.address,
        }));
    }
    targets
}

/// The connections of the polls, apart from those of requests: a response without an id cannot be told from a copy.
const POLL_GROUP: u64 = 1;

/// Asks a target for its load and applies the report. A failure or timeout is ignored.
async fn poll(shared: &Shared, target: PolledTarget) {
    let timer = async {
        pause(REPORT_TIMEOUT).await;
        None
    };
    let Some(report) = future::or(fetch_report(shared, target.address), timer).await else {
        return;
    };
    let report = LoadReport {
        used: report.used_permille(),
    };
    let mut targets = shared.targets();
    targets.on_report(shared.now(), &target.service, &target.name, report);
}

async fn fetch_report(shared: &Shared, address: SocketAddr) -> Option<Report> {
    let request = Request::get("/load").body(empty()).ok()?;
    let endpoint = Endpoint {
        address,
        group: POLL_GROUP,
    };
    let response = shared.client.send(endpoint, request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = collect(response.into_body(), MAX_REPORT_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
