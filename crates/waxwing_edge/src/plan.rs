//! The deployment in force, indexed for requests.

use std::collections::HashMap;

use smol_str::SmolStr;
use waxwing_records::{Deployment, HostRoute, ServiceSpec, WorkspaceSpec};
use waxwing_types::{RefusalReason, RegionId, ServiceId};

/// What a request may do.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// Its route.
    pub route: &'a HostRoute,
    /// Its workspace, `None` on a public route and where no keys are used.
    pub workspace: Option<&'a WorkspaceSpec>,
}

impl RouteMatch<'_> {
    /// Whether the request may be served in a region. Homes of route and workspace both bind.
    pub fn allows_region(&self, region: &RegionId) -> bool {
        let fits = |homes: &[RegionId]| homes.is_empty() || homes.contains(region);
        fits(&self.route.homes) && self.workspace.is_none_or(|w| fits(&w.homes))
    }

    /// Rank under load, 0 is served first. The workspace's goes before the route's.
    pub fn priority(&self) -> (u32, u32) {
        (self.workspace.map_or(0, |w| w.rank), self.route.rank)
    }
}

/// A deployment with its indexes.
#[derive(Debug)]
pub struct RoutingTable {
    record: Deployment,
    /// Routes of a host, the longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    keys: HashMap<SmolStr, usize>,
    services: HashMap<ServiceId, usize>,
}

impl RoutingTable {
    /// Indexes a record.
    pub fn new(record: Deployment) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (i, route) in record.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(i);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(record.routes[*i].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (i, workspace) in record.workspaces.iter().flatten().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), i)));
        }
        let services = record.services.iter().enumerate();
        let services = services.map(|(i, s)| (s.id.clone(), i)).collect();
        Self {
            record,
            hosts,
            keys,
            services,
        }
    }

    /// The record.
    pub fn deployment(&self) -> &Deployment {
        &self.record
    }

    /// Version of the record.
    pub fn version(&self) -> u64 {
        self.record.version
    }

    /// A service by its name.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(id).map(|i| &self.record.services[*i])
    }

    /// The workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceSpec> {
        self.record.workspaces.iter().flatten()
    }

    /// What a request may do.
    ///
    /// # Errors
    /// No route matches, or its key is not known.
    pub fn match_route(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, RefusalReason> {
        let route = self.route(host, path).ok_or(RefusalReason::RouteUnknown)?;
        let Some(workspaces) = &self.record.workspaces else {
            return Ok(RouteMatch {
                route,
                workspace: None,
            });
        };
        if route.public {
            return Ok(RouteMatch {
                route,
                workspace: None,
            });
        }
        let key = key.ok_or(RefusalReason::KeyMissing)?;
        let holder = self.keys.get(key).ok_or(RefusalReason::KeyInvalid)?;
        Ok(RouteMatch {
            route,
            workspace: Some(&workspaces[*holder]),
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<&HostRoute> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(host)?;
        let mut routes = routes.iter().map(|i| &self.record.routes[*i]);
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }
}

/// The backend of a route for a draw in [0, 1).
pub(crate) fn backend(route: &HostRoute, draw: f64) -> Option<&ServiceId> {
    let total: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "weights are small"
    )]
    let mut at = (draw * total as f64) as u64;
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if at < weight {
            return Some(&backend.service);
        }
        at -= weight;
    }
    None
}

impl RouteMatch<'_> {
    /// The service that is to serve the request, for a draw in [0, 1).
    pub fn select_service(&self, draw: f64) -> Option<&ServiceId> {
        backend(self.route, draw)
    }
}
