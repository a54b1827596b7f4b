//! The record that describes one deployment as a whole: routes by host and path, services, workspaces
//! and the limits of callers.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use waxwing_types::{Millis, RegionId, ServiceId, WorkspaceId, common_derives};

use crate::Findings;

/// Schema version of [`Deployment`] that this program writes.
const SCHEMA: u32 = 1;

common_derives! {
    copy
    /// How often a request of a route may run.
    #[derive(Hash, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum RunKind {
        /// It is idempotent and may run more than once.
        Safe,
        /// It runs at most once.
        Unsafe,
        /// It has a large body and runs at most once.
        Upload,
    }
}

impl RunKind {
    /// Whether a request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe | Self::Upload => false,
        }
    }
}

common_derives! {
    /// A service to which a route sends a part of its requests.
    #[derive(Hash, Serialize, Deserialize)]
    pub struct Backend {
        /// The service.
        pub service: ServiceId,
        /// Its part, relative to the other backends of the route.
        pub weight: u32,
    }
}

common_derives! {
    /// A route, selected by host and longest path prefix.
    #[derive(Hash, Serialize, Deserialize)]
    pub struct HostRoute {
        /// Name of the route.
        pub name: SmolStr,
        /// Host without a port.
        pub host: SmolStr,
        /// Path prefix, which begins and ends with a slash.
        pub prefix: SmolStr,
        /// How often its requests may run.
        pub kind: RunKind,
        /// Longest time that a caller is kept waiting.
        pub timeout: Millis,
        /// Time within which an answer is in time.
        pub objective: Millis,
        /// Most targets to which one request is sent.
        pub attempts: u32,
        /// Rank under load, 0 is served first.
        pub rank: u32,
        /// Whether it needs no key.
        pub public: bool,
        /// Whether requests about one object go to one target.
        pub affinity: bool,
        /// Regions in which it may be served, all if empty.
        pub homes: Vec<RegionId>,
        /// Services that serve it.
        pub backends: Vec<Backend>,
    }
}

common_derives! {
    /// A service, whose targets register themselves.
    #[derive(Hash, Serialize, Deserialize)]
    pub struct ServiceSpec {
        /// The service.
        pub id: ServiceId,
        /// Path of its health check.
        pub health: SmolStr,
        /// Connections that one target accepts from all VMs together.
        pub connections: u32,
        /// Time for which a target that started under traffic is cold.
        pub cold_time: Millis,
        /// Requests that a cold target tolerates in 1000 s.
        pub cold_rate: u64,
    }
}

common_derives! {
    /// A workspace with its keys and its quota.
    #[derive(Hash, Serialize, Deserialize)]
    pub struct WorkspaceSpec {
        /// The workspace.
        pub id: WorkspaceId,
        /// Its keys.
        pub keys: Vec<SmolStr>,
        /// Rank under load, before the rank of the route.
        pub rank: u32,
        /// Requests in 1000 s over all VMs, 0 for no limit.
        pub rate: u64,
        /// Requests beyond the rate at once, over all VMs.
        pub burst: u64,
        /// Regions in which it may be served, all if empty.
        pub homes: Vec<RegionId>,
    }
}

common_derives! {
    copy
    /// What a caller may send.
    #[derive(Hash, Serialize, Deserialize)]
    pub struct CallerLimits {
        /// Greatest header section in bytes.
        pub header_bytes: u64,
        /// Greatest body in bytes.
        pub body_bytes: u64,
        /// Time for a header section.
        pub header_time: Millis,
        /// Time for which a connection may be idle.
        pub idle_time: Millis,
    }
}

common_derives! {
    /// One deployment as a whole.
    #[derive(Serialize, Deserialize)]
    pub struct Deployment {
        /// Schema version of the record.
        #[serde(default = "schema")]
        pub schema: u32,
        /// Version of the content; a higher one replaces a lower one.
        pub version: u64,
        /// Routes.
        pub routes: Vec<HostRoute>,
        /// Services.
        pub services: Vec<ServiceSpec>,
        /// Workspaces. `None`: requests need no key.
        pub workspaces: Option<Vec<WorkspaceSpec>>,
        /// Limits of callers.
        pub limits: CallerLimits,
    }
}

const fn schema() -> u32 {
    SCHEMA
}

impl Deployment {
    /// Finds faults that make the record unusable.
    ///
    /// # Errors
    /// All faults, each with the field in which it is.
    pub fn check(&self) -> Result<(), Findings> {
        let mut findings = Findings::default();
        if self.schema > SCHEMA {
            let found = self.schema;
            findings.add("schema", format!("expected at most {SCHEMA}, got {found}"));
        }
        let services: HashSet<_> = self.services.iter().map(|s| &s.id).collect();
        let mut places = HashSet::new();
        for route in &self.routes {
            route.check(&services, &mut findings);
            if !places.insert((&route.host, &route.prefix)) {
                let place = format!("routes.{}.prefix", route.name);
                findings.add(place, "another route has this host and prefix");
            }
        }
        let mut keys = HashSet::new();
        for workspace in self.workspaces.iter().flatten() {
            for key in &workspace.keys {
                if !keys.insert(key) {
                    let place = format!("workspaces.{}.keys", workspace.id);
                    findings.add(place, "a key is held twice");
                }
            }
        }
        findings.or_ok(())
    }
}

impl HostRoute {
    fn check(&self, services: &HashSet<&ServiceId>, findings: &mut Findings) {
        let place = |field: &str| format!("routes.{}.{field}", self.name);
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            findings.add(place("prefix"), "expected a slash at both ends");
        }
        if self.attempts == 0 {
            findings.add(place("attempts"), "expected at least 1");
        }
        if self.backends.iter().all(|b| b.weight == 0) {
            findings.add(place("backends"), "expected a weight above 0");
        }
        for backend in &self.backends {
            if !services.contains(&backend.service) {
                let message = format!("unknown service {}", backend.service);
                findings.add(place("backends"), message);
            }
        }
    }
}
