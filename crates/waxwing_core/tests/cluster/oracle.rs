//! What must hold in the cluster at every moment.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use waxwing_records::{Document, KeyHash, RecordName};
use waxwing_types::{Millis, Revision, WorkspaceId};

use super::{Cluster, Node, STORE_DOMAIN};

/// Time in which a change has to be in force wherever the store can be reached.
pub const PROPAGATION_BOUND: Millis = Millis(13_000);

/// What a process showed when it was last looked at.
#[derive(Default)]
struct Seen {
    process: u64,
    revision: Revision,
    versions: BTreeMap<SmolStr, (Revision, Option<Revision>)>,
}

#[derive(Default)]
pub struct Oracle {
    seen: Vec<Seen>,
    /// Since when each domain has been able to reach the store, itself or over one other domain.
    linked: Vec<Option<Millis>>,
}

impl Oracle {
    /// Notes faults that begin or end now.
    pub fn update_connectivity(&mut self, cluster: &Cluster) {
        let domains = cluster
            .nodes
            .iter()
            .map(|n| n.domain + 1)
            .max()
            .unwrap_or(0);
        self.linked.resize(domains, None);
        let clean = cluster.network_faults.loss == 0 && !cluster.store.down;
        for domain in 0..domains {
            let over = |other| {
                let whole = !cluster.is_partitioned(other, other)
                    && !cluster.is_partitioned(other, STORE_DOMAIN);
                whole && !cluster.is_partitioned(domain, other)
            };
            let linked = clean && (0..domains).any(over);
            let since = self.linked[domain].or(Some(cluster.now));
            self.linked[domain] = since.filter(|_| linked);
        }
    }

    pub fn check(&mut self, cluster: &Cluster) {
        self.seen.resize_with(cluster.nodes.len(), Seen::default);
        for (node, seen) in cluster.nodes.iter().zip(&mut self.seen) {
            node.config.check_invariants();
            check_monotonic(node, seen);
            check_in_force(cluster, node);
            check_revision(cluster, node);
            check_age(cluster, node);
            if let Some(linked) = self.linked.get(node.domain).copied().flatten() {
                check_bound(cluster, node, linked);
            }
        }
    }
}

/// No record of a process goes back to a lower version, and neither does its revision.
fn check_monotonic(node: &Node, seen: &mut Seen) {
    if seen.process != node.process {
        *seen = Seen {
            process: node.process,
            ..Seen::default()
        };
    }
    let revision = node.config.revision();
    assert!(seen.revision <= revision, "{} went back", node.id);
    seen.revision = revision;
    for (path, old) in &mut seen.versions {
        let new = node.config.versions(path).expect("a record disappeared");
        assert!(old.0 <= new.0, "{} went back at {path}", node.id);
        assert!(old.1 <= new.1, "{} put an older {path} in force", node.id);
        *old = new;
    }
    let delta = node.config.delta(Millis(0), Revision(0), usize::MAX);
    for record in delta.records {
        let versions = node.config.versions(&record.path).expect("just listed");
        seen.versions.entry(record.path).or_insert(versions);
    }
}

/// The record in force is the newest valid one that arrived, and queries answer from it.
fn check_in_force(cluster: &Cluster, node: &Node) {
    for path in cluster.store.paths() {
        let Some((held, in_force)) = node.config.versions(path) else {
            continue;
        };
        let valid = |v: Revision| Document::parse(&cluster.store.write_with_version(v).value);
        let path_known = RecordName::from_path(path).is_some();
        let good = path_known && valid(held).is_ok();
        assert_eq!(in_force == Some(held), good, "{} at {path}", node.id);
        let document = in_force.map(|v| valid(v).expect("an invalid record is in force"));
        let Some(name) = path.strip_prefix("config/workspace/") else {
            continue;
        };
        let expected = document.and_then(|d| d.record);
        let found = node.config.workspace(&WorkspaceId::from(name));
        let found = found.map(|w| waxwing_records::Record::Workspace((**w).clone()));
        assert_eq!(expected, found, "{} answers from another {path}", node.id);
    }
}

/// Everything below the revision in force is held.
fn check_revision(cluster: &Cluster, node: &Node) {
    let revision = node.config.revision();
    for (path, version) in cluster.store.versions_at_revision(revision) {
        let held = node.config.versions(path).map_or(Revision(0), |v| v.0);
        let id = &node.id;
        assert!(
            held >= version,
            "{id} at {revision} has {path} at {held}, not {version}"
        );
    }
}

/// The age is never lower than the truth.
fn check_age(cluster: &Cluster, node: &Node) {
    let age = node.config.age(cluster.now.since(node.started_at));
    if age > cluster.now {
        return;
    }
    let due = cluster.store.last_version_before(cluster.now.since(age));
    let revision = node.config.revision();
    assert!(
        revision >= due,
        "{} claims age {age} at {revision}, not {due}",
        node.id
    );
}

/// What was written longer ago than the bound is in force, and withdrawn keys are refused.
fn check_bound(cluster: &Cluster, node: &Node, linked: Millis) {
    let since = linked.max(node.started_at);
    if cluster.now.since(since) < PROPAGATION_BOUND {
        return;
    }
    let due = cluster
        .store
        .last_version_before(cluster.now.since(PROPAGATION_BOUND));
    for (path, version) in cluster.store.versions_at_revision(due) {
        let held = node.config.versions(path).map_or(Revision(0), |v| v.0);
        let (id, now) = (&node.id, cluster.now);
        assert!(
            held >= version,
            "{id} has {path} at {held}, not {version}, at {now}"
        );
        let withdrawn = Document::parse(&cluster.store.write_with_version(held).value);
        let withdrawn = withdrawn.is_ok_and(|d| d.record.is_none());
        if let Some(key) = path.strip_prefix("config/key/").filter(|_| withdrawn) {
            let hash = KeyHash::of(&format!("{key}.secret"));
            assert_eq!(
                node.config.workspace_for_key(key, &hash),
                None,
                "{id} accepts {key}"
            );
        }
    }
}
