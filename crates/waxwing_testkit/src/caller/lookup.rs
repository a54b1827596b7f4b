//! Look-ups of entry VMs and their cache.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;

/// An entry VM in an answer to `GET /v1/route`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RouteVm {
    /// Id of the VM.
    pub id: String,
    /// Address for callers.
    pub address: SocketAddr,
}

/// The answer to `GET /v1/route`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RouteAnswer {
    /// Entry VMs, the best first.
    pub vms: Vec<RouteVm>,
    /// Time for which the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// The last answer, until its lifetime is over.
#[derive(Debug, Default)]
pub(super) struct Cache {
    vms: Vec<SocketAddr>,
    until: Option<Instant>,
}

impl Cache {
    pub(super) fn fresh(&self) -> Option<Vec<SocketAddr>> {
        let until = self.until?;
        (Instant::now() < until && !self.vms.is_empty()).then(|| self.vms.clone())
    }

    /// The last answer even if it is over, for the time when no look-up succeeds.
    pub(super) fn last(&self) -> Vec<SocketAddr> {
        self.vms.clone()
    }

    pub(super) fn keep(&mut self, answer: &RouteAnswer) {
        self.vms = answer.vms.iter().map(|vm| vm.address).collect();
        self.until = Some(Instant::now() + Duration::from_millis(answer.lifetime_ms));
    }

    /// Has the next call look up again, since a VM of the answer failed.
    pub(super) fn expire(&mut self) {
        self.until = None;
    }
}
