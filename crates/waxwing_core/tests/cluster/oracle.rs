//! Checks what must hold in the cluster at every moment.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use waxwing_records::{Document, KeyHash, RecordName};
use waxwing_types::{Millis, Revision, WorkspaceId};

use super::{Cluster, Node, STORE_DOMAIN};

/// Time within which a change must be in force in every domain that can reach the store.
pub const PROPAGATION_BOUND: Millis = Millis(13_000);

/// State of a process at the last check.
#[derive(Default)]
struct Snapshot {
    process: u64,
    revision: Revision,
    /// For each path, the versions held and in force.
    versions: BTreeMap<SmolStr, (Revision, Option<Revision>)>,
}

#[derive(Default)]
pub struct Oracle {
    /// State of each node at the last check.
    snapshots: Vec<Snapshot>,
    /// Since when each domain has been able to reach the store, directly or via one other domain.
    connected_since: Vec<Option<Millis>>,
}

impl Oracle {
    /// Updates which domains can reach the store. Call it when faults begin or end.
    pub fn update_connectivity(&mut self, cluster: &Cluster) {
        let domains = cluster
            .nodes
            .iter()
            .map(|n| n.domain + 1)
            .max()
            .unwrap_or(0);
        self.connected_since.resize(domains, None);
        let store_and_network_ok = cluster.network_faults.loss == 0 && !cluster.store.down;
        for domain in 0..domains {
            let reaches_store_through = |other| {
                let other_reaches_store = !cluster.is_partitioned(other, other)
                    && !cluster.is_partitioned(other, STORE_DOMAIN);
                other_reaches_store && !cluster.is_partitioned(domain, other)
            };
            let connected = store_and_network_ok && (0..domains).any(reaches_store_through);
            let since = self.connected_since[domain].or(Some(cluster.now));
            self.connected_since[domain] = since.filter(|_| connected);
        }
    }

    pub fn check(&mut self, cluster: &Cluster) {
        self.snapshots
            .resize_with(cluster.nodes.len(), Snapshot::default);
        for (node, snapshot) in cluster.nodes.iter().zip(&mut self.snapshots) {
            node.config.check_invariants();
            check_monotonic(node, snapshot);
            check_in_force(cluster, node);
            check_revision(cluster, node);
            check_age(cluster, node);
            if let Some(since) = self.connected_since.get(node.domain).copied().flatten() {
                check_propagation(cluster, node, since);
            }
        }
    }
}

/// Neither the revision of a process nor the versions of its records may decrease.
fn check_monotonic(node: &Node, snapshot: &mut Snapshot) {
    if snapshot.process != node.process {
        *snapshot = Snapshot {
            process: node.process,
            ..Snapshot::default()
        };
    }
    let revision = node.config.revision();
    assert!(
        snapshot.revision <= revision,
        "{}: the revision decreased",
        node.id
    );
    snapshot.revision = revision;
    for (path, old) in &mut snapshot.versions {
        let new = node
            .config
            .versions(path)
            .expect("a held record stays held");
        assert!(
            old.0 <= new.0,
            "{}: the held version of {path} decreased",
            node.id
        );
        assert!(
            old.1 <= new.1,
            "{}: the version of {path} in force decreased",
            node.id
        );
        *old = new;
    }
    let delta = node.config.delta(Millis(0), Revision(0), usize::MAX);
    for record in delta.records {
        let versions = node
            .config
            .versions(&record.path)
            .expect("listed records are held");
        snapshot.versions.entry(record.path).or_insert(versions);
    }
}

/// A held record must be in force if it is valid, and queries must answer from the record in force.
fn check_in_force(cluster: &Cluster, node: &Node) {
    for path in cluster.store.paths() {
        let Some((held, in_force)) = node.config.versions(path) else {
            continue;
        };
        let parse = |v: Revision| Document::parse(&cluster.store.write_with_version(v).value);
        let is_known_kind = RecordName::from_path(path).is_some();
        let is_valid = is_known_kind && parse(held).is_ok();
        assert_eq!(in_force == Some(held), is_valid, "{} at {path}", node.id);
        let document = in_force.map(|v| parse(v).expect("records in force are valid"));
        let Some(name) = path.strip_prefix("config/workspace/") else {
            continue;
        };
        let expected = document.and_then(|d| d.record);
        let found = node.config.workspace(&WorkspaceId::from(name));
        let found = found.map(|w| waxwing_records::Record::Workspace((**w).clone()));
        assert_eq!(
            expected, found,
            "{} does not answer from the record in force of {path}",
            node.id
        );
    }
}

/// A process must hold all records up to its revision.
fn check_revision(cluster: &Cluster, node: &Node) {
    let revision = node.config.revision();
    for (path, version) in cluster.store.versions_at_revision(revision) {
        let held = node.config.versions(path).map_or(Revision(0), |v| v.0);
        let id = &node.id;
        assert!(
            held >= version,
            "{id} at {revision} has {path} at {held}, expected at least {version}"
        );
    }
}

/// A process must hold all changes that are older than the age that it reports.
fn check_age(cluster: &Cluster, node: &Node) {
    let age = node.config.age(cluster.now.since(node.started_at));
    if age > cluster.now {
        return;
    }
    let min_revision = cluster.store.last_version_before(cluster.now.since(age));
    let revision = node.config.revision();
    assert!(
        revision >= min_revision,
        "{} reports age {age} at {revision}, expected at least {min_revision}",
        node.id
    );
}

/// A process that has been able to reach the store for `PROPAGATION_BOUND` must hold all records
/// that are older than that, and refuse withdrawn keys.
fn check_propagation(cluster: &Cluster, node: &Node, connected_since: Millis) {
    let since = connected_since.max(node.started_at);
    if cluster.now.since(since) < PROPAGATION_BOUND {
        return;
    }
    let min_revision = cluster
        .store
        .last_version_before(cluster.now.since(PROPAGATION_BOUND));
    for (path, version) in cluster.store.versions_at_revision(min_revision) {
        let held = node.config.versions(path).map_or(Revision(0), |v| v.0);
        let (id, now) = (&node.id, cluster.now);
        assert!(
            held >= version,
            "{id} has {path} at {held}, expected at least {version}, at {now}"
        );
        let withdrawn = Document::parse(&cluster.store.write_with_version(held).value);
        let withdrawn = withdrawn.is_ok_and(|d| d.record.is_none());
        if let Some(key) = path.strip_prefix("config/key/").filter(|_| withdrawn) {
            let hash = KeyHash::of(&format!("{key}.secret"));
            assert_eq!(
                node.config.workspace_for_key(key, &hash),
                None,
                "{id} accepts the withdrawn key {key}"
            );
        }
    }
}
