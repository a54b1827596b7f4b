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
    /// For each path, the version held and the version in force, if any.
    versions: BTreeMap<SmolStr, (Revision, Option<Revision>)>,
}

#[derive(Default)]
pub struct Oracle {
    /// State of each node at the last check.
    snapshots: Vec<Snapshot>,
    /// Time since which each domain can reach the store, directly or through one other domain.
    connected_since: Vec<Option<Millis>>,
}

impl Oracle {
    /// Updates `connected_since`. Must be called whenever faults begin or end.
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
            // `via` may be `domain` itself. A partition of a domain from itself cuts the network
            // inside that domain.
            let reaches_store_through = |via| {
                let via_can_relay =
                    !cluster.is_partitioned(via, via) && !cluster.is_partitioned(via, STORE_DOMAIN);
                via_can_relay && !cluster.is_partitioned(domain, via)
            };
            let connected = store_and_network_ok && (0..domains).any(reaches_store_through);
            let connected_since = self.connected_since[domain].or(Some(cluster.now));
            self.connected_since[domain] = connected_since.filter(|_| connected);
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
    // Each pair holds the held version and the version in force.
    for (path, old_versions) in &mut snapshot.versions {
        let new_versions = node
            .config
            .versions(path)
            .expect("a held record stays held");
        assert!(
            old_versions.0 <= new_versions.0,
            "{}: the held version of {path} decreased",
            node.id
        );
        assert!(
            old_versions.1 <= new_versions.1,
            "{}: the version of {path} in force decreased",
            node.id
        );
        *old_versions = new_versions;
    }
    // Lists all held records, because every version is above revision 0.
    let all_held = node.config.delta(Millis(0), Revision(0), usize::MAX);
    for record in all_held.records {
        let versions = node
            .config
            .versions(&record.path)
            .expect("listed records are held");
        snapshot.versions.entry(record.path).or_insert(versions);
    }
}

/// A held record must be in force if it is valid, and only then. Queries must answer from the
/// record in force.
fn check_in_force(cluster: &Cluster, node: &Node) {
    for path in cluster.store.paths() {
        let Some((held, in_force)) = node.config.versions(path) else {
            continue;
        };
        let parse = |v: Revision| Document::parse(&cluster.store.find_write(v).value);
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

/// The age that a process reports is the time by which its configuration may be behind the store.
/// The process must hold all changes that were written longer ago than that.
fn check_age(cluster: &Cluster, node: &Node) {
    let age = node.config.age(cluster.now.since(node.started_at));
    if age > cluster.now {
        return;
    }
    // Here `since` returns the time that lies `age` before `now`.
    let min_revision = cluster.store.last_version_before(cluster.now.since(age));
    let revision = node.config.revision();
    assert!(
        revision >= min_revision,
        "{}: revision {revision} is lower than {min_revision}, although the reported age is {age}",
        node.id
    );
}

/// A process that has been able to reach the store for `PROPAGATION_BOUND` must hold all records
/// that were written more than `PROPAGATION_BOUND` ago. It must also refuse the keys that are
/// withdrawn in its records.
fn check_propagation(cluster: &Cluster, node: &Node, connected_since: Millis) {
    let process_connected_since = connected_since.max(node.started_at);
    if cluster.now.since(process_connected_since) < PROPAGATION_BOUND {
        return;
    }
    // Here `since` returns the time that lies `PROPAGATION_BOUND` before `now`.
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
        let document = Document::parse(&cluster.store.find_write(held).value);
        let withdrawn = document.is_ok_and(|d| d.record.is_none());
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
