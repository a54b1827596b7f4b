//! Load reports of targets.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_lite::future;
use hyper::Request;
use serde::Deserialize;
use waxwing_core::LoadReport;
use waxwing_http::{collect, empty};
use waxwing_types::{Millis, ServiceId, TargetId};

use super::{Context, pause};
use crate::state::Shared;

/// Time for one report. A later one says nothing of the present load.
const REPORT_TIMEOUT: Millis = Millis(500);
/// Greatest size of a report in bytes.
const MAX_REPORT_BYTES: usize = 4096;

/// Use of the slots that stands for a target that drains, in thousandths.
const DRAINING: u32 = 2000;

#[derive(Deserialize)]
struct Report {
    running: u32,
    slots: u32,
    #[serde(default)]
    draining: bool,
}

impl Report {
    /// Slots in use in thousandths. A target that drains reports itself as full, so that it gets as
    /// little as a hint can bring about until the configuration names it as leaving.
    fn used(&self) -> u32 {
        let used = u64::from(self.running) * 1000 / u64::from(self.slots.max(1));
        let used = u32::try_from(used).unwrap_or(u32::MAX);
        if self.draining {
            used.max(DRAINING)
        } else {
            used
        }
    }
}

struct Source {
    service: ServiceId,
    target: TargetId,
    address: SocketAddr,
}

/// Asks the targets of this region in turn, spread over the period.
pub(super) async fn run(ctx: Context) {
    let shared = &ctx.shared;
    let period = shared.settings.load_period;
    loop {
        let sources = sources(shared);
        let step = Millis(period.0 / (sources.len() as u64).max(1));
        if sources.is_empty() {
            pause(period).await;
        }
        for source in sources {
            let shared = Arc::clone(shared);
            let executor = Arc::clone(&shared.executor);
            executor
                .spawn(async move { ask(&shared, source).await })
                .detach();
            pause(step).await;
        }
    }
}

fn sources(shared: &Shared) -> Vec<Source> {
    let config = shared.config();
    let home = shared.steering.own_region(&config);
    let mut sources = Vec::new();
    for (service, record) in config.services() {
        let near = record.targets.iter().filter(|t| !t.leaving);
        let near = near.filter(|t| config.region_of(&t.domain) == home);
        sources.extend(near.map(|t| Source {
            service: service.clone(),
            target: t.name.clone(),
            address: t.address,
        }));
    }
    sources
}

async fn ask(shared: &Shared, source: Source) {
    let timer = async {
        pause(REPORT_TIMEOUT).await;
        None
    };
    let Some(report) = future::or(read(shared, source.address), timer).await else {
        return;
    };
    let report = LoadReport {
        used: report.used(),
    };
    let mut targets = shared.targets();
    targets.on_report(shared.now(), &source.service, &source.target, report);
}

async fn read(shared: &Shared, address: SocketAddr) -> Option<Report> {
    let request = Request::get("/load").body(empty()).ok()?;
    let response = shared.client.send(address, request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = collect(response.into_body(), MAX_REPORT_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
