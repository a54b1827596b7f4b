//! The record of a service: who may call it, its routes and its targets.

use std::net::SocketAddr;

use smol_str::SmolStr;
use waxwing_types::{DomainId, Millis, TargetId, WorkspaceId, common_derives};

use crate::Findings;
use crate::check::{check_name, check_names, check_range, check_unique};

/// Greatest timeout of a route.
pub(crate) const MAX_TIMEOUT: Millis = Millis::from_secs(3600);
/// Greatest number of requests that a target runs at once.
pub(crate) const MAX_SLOTS: u32 = 10_000;

/// Greatest cost of a request in tokens.
pub(crate) const MAX_COST: u32 = 10_000;
/// Greatest length of a method.
pub(crate) const MAX_METHOD_BYTES: usize = 20;
/// Greatest length of a route's prefix.
pub(crate) const MAX_PREFIX_BYTES: usize = 1024;

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

    pub(crate) fn check(&self, place: &str, out: &mut Findings) {
        check_names(&format!("{place}.workspaces"), &self.workspaces, out);
        let list = format!("{place}.routes");
        if self.routes.is_empty() {
            out.add(&list, "expected at least one route");
        }
        for (i, route) in self.routes.iter().enumerate() {
            route.check(&format!("{list}[{i}]"), out);
        }
        let routes = self.routes.iter();
        check_unique(
            &list,
            "",
            routes.map(|r| format!("{} {}", r.method, r.prefix)),
            out,
        );
        let list = format!("{place}.targets");
        for (i, target) in self.targets.iter().enumerate() {
            target.check(&format!("{list}[{i}]"), out);
        }
        check_unique(&list, ".name", self.targets.iter().map(|t| &t.name), out);
        check_unique(
            &list,
            ".address",
            self.targets.iter().map(|t| t.address),
            out,
        );
    }
}

impl Target {
    fn check(&self, place: &str, out: &mut Findings) {
        check_name(&format!("{place}.name"), self.name.as_str(), out);
        check_name(&format!("{place}.domain"), self.domain.as_str(), out);
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            out.add(
                format!("{place}.address"),
                format!(
                    "expected an address and port to connect to, got {}",
                    self.address
                ),
            );
        }
        let slots = self.slots.into();
        check_range(&format!("{place}.slots"), 1, MAX_SLOTS.into(), slots, out);
    }
}

impl Route {
    fn check(&self, place: &str, out: &mut Findings) {
        if self.method.is_empty()
            || self.method.len() > MAX_METHOD_BYTES
            || !self.method.bytes().all(|b| b.is_ascii_uppercase())
        {
            out.add(
                format!("{place}.method"),
                format!("expected an upper-case method, got \"{}\"", self.method),
            );
        }
        let graphic = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
        if !self.prefix.starts_with('/')
            || self.prefix.len() > MAX_PREFIX_BYTES
            || !self.prefix.bytes().all(graphic)
        {
            out.add(
                format!("{place}.prefix"),
                format!(
                    "expected a path that starts with \"/\", of at most {MAX_PREFIX_BYTES} bytes \
                     and without query, got \"{}\"",
                    self.prefix
                ),
            );
        }
        if self.idempotent && self.key_required {
            out.add(
                format!("{place}.key_required"),
                "expected false on an idempotent route",
            );
        }
        let cost = self.cost.into();
        check_range(&format!("{place}.cost"), 1, MAX_COST.into(), cost, out);
        let timeout = self.timeout.0;
        check_range(
            &format!("{place}.timeout_ms"),
            1,
            MAX_TIMEOUT.0,
            timeout,
            out,
        );
    }
}
