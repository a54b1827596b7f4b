//! The record of a service: who may call it, its routes and its targets.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use smol_str::SmolStr;
use waxwing_types::{DomainId, Millis, TargetId, WorkspaceId, common_derives};

use crate::Findings;

/// Greatest timeout of a route.
pub(crate) const MAX_TIMEOUT: Millis = Millis::from_secs(3600);
/// Greatest number of requests that a target runs at once.
pub(crate) const MAX_SLOTS: u32 = 10_000;

common_derives! {
    /// A method and a path prefix, and how its requests are treated.
    pub struct Route {
        /// HTTP method in upper case.
        pub method: SmolStr,
        /// Prefix of the path below the service, starting with `/`.
        pub prefix: SmolStr,
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Whether a request must carry an `Idempotency-Key`.
        pub key_required: bool,
        /// Whether the route is open to callers without a key.
        pub public: bool,
        /// Tokens that a request spends, and its cost in fair queueing.
        pub cost: u32,
        /// Time allowed from arrival to the head of the answer.
        pub timeout: Millis,
    }
}

common_derives! {
    /// A process that runs requests of a service.
    pub struct Target {
        /// Name, unique in the service.
        pub name: TargetId,
        /// Failure domain of the target.
        pub domain: DomainId,
        /// IP address and port.
        pub address: SocketAddr,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it is to get no new work.
        pub leaving: bool,
    }
}

common_derives! {
    /// A service and the targets that run it.
    pub struct Service {
        /// Workspaces that may call it. Empty: all.
        pub workspaces: Vec<WorkspaceId>,
        /// Routes; the longest matching prefix wins.
        pub routes: Vec<Route>,
        /// Targets in all regions.
        pub targets: Vec<Target>,
    }
}

impl Service {
    /// The route with the longest prefix that matches, if any.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| r.method == method && path.starts_with(r.prefix.as_str()))
            .max_by_key(|r| r.prefix.len())
    }

    /// Whether the workspace may call the service.
    pub fn allows(&self, workspace: &WorkspaceId) -> bool {
        self.workspaces.is_empty() || self.workspaces.contains(workspace)
    }

    pub(crate) fn check(&self, place: &str, findings: &mut Findings) {
        if self.routes.is_empty() {
            findings.add(format!("{place}.routes"), "expected at least one route");
        }
        for (i, route) in self.routes.iter().enumerate() {
            route.check(&format!("{place}.routes[{i}]"), findings);
        }
        let mut names = BTreeSet::new();
        for (i, target) in self.targets.iter().enumerate() {
            let place = format!("{place}.targets[{i}]");
            if !names.insert(&target.name) {
                findings.add(
                    format!("{place}.name"),
                    format!("\"{}\" stands twice", target.name),
                );
            }
            if target.slots == 0 || target.slots > MAX_SLOTS {
                findings.add(
                    format!("{place}.slots"),
                    format!("expected 1 to {MAX_SLOTS}, got {}", target.slots),
                );
            }
        }
    }
}

impl Route {
    fn check(&self, place: &str, findings: &mut Findings) {
        if self.method.is_empty() || !self.method.bytes().all(|b| b.is_ascii_uppercase()) {
            findings.add(
                format!("{place}.method"),
                format!("expected an upper-case method, got \"{}\"", self.method),
            );
        }
        if !self.prefix.starts_with('/') {
            findings.add(
                format!("{place}.prefix"),
                format!(
                    "expected a path that starts with \"/\", got \"{}\"",
                    self.prefix
                ),
            );
        }
        if self.idempotent && self.key_required {
            findings.add(
                format!("{place}.key_required"),
                "expected false on an idempotent route",
            );
        }
        if self.cost == 0 {
            findings.add(format!("{place}.cost"), "expected at least 1, got 0");
        }
        if self.timeout == Millis::ZERO || self.timeout > MAX_TIMEOUT {
            findings.add(
                format!("{place}.timeout_ms"),
                format!("expected 1 to {}, got {}", MAX_TIMEOUT.0, self.timeout.0),
            );
        }
    }
}
