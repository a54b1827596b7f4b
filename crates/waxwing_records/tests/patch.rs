//! Patches between versions of a deployment.

use assert_matches::assert_matches;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use waxwing_records::{
    Backend, CallerLimits, ChangeLog, Deployment, DeploymentPatch, HostRoute, PatchError, RunKind,
    ServiceSpec, WorkspaceSpec,
};
use waxwing_types::Millis;

/// A number that stands for the content of an item, by the number that names the item.
type Contents = Vec<(u8, u8)>;

const NO_LIMIT: (u64, u64) = (u64::MAX, u64::MAX);

fn route(name: u8, content: u8) -> HostRoute {
    HostRoute {
        name: format!("r{name}").into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        kind: RunKind::Safe,
        timeout: Millis(1000 + u64::from(content)),
        objective: Millis(500),
        attempts: 1,
        rank: 0,
        public: true,
        affinity: false,
        homes: Vec::new(),
        backends: vec![Backend {
            service: "s0".into(),
            weight: 1,
        }],
    }
}

fn service(name: u8, content: u8) -> ServiceSpec {
    ServiceSpec {
        id: format!("s{name}").as_str().into(),
        health: "/".into(),
        connections: u32::from(content),
        cold_time: Millis(1000),
        cold_rate: 1,
    }
}

fn workspace(name: u8, content: u8) -> WorkspaceSpec {
    WorkspaceSpec {
        id: format!("w{name}").as_str().into(),
        keys: vec![format!("k{name}-{content}").into()],
        rank: 0,
        rate: 0,
        burst: 0,
        homes: Vec::new(),
    }
}

fn deployment(version: u64, routes: &[(u8, u8)]) -> Deployment {
    let limits = CallerLimits {
        header_bytes: 1000,
        body_bytes: 1000,
        header_time: Millis(1000),
        idle_time: Millis(1000),
    };
    Deployment {
        schema: 1,
        version,
        routes: routes.iter().map(|(n, c)| route(*n, *c)).collect(),
        services: vec![service(0, 1)],
        workspaces: None,
        limits,
    }
}

/// The patch to the last of the versions, of which each replaced the one before.
fn patch_of(versions: &[Deployment], limits: (u64, u64)) -> Option<DeploymentPatch> {
    let mut log = ChangeLog::default();
    for pair in versions.windows(2) {
        log.record(&pair[0], &pair[1]);
    }
    log.patch(versions.last()?, limits)
}

/// A deployment with its items in an order that does not depend on how it came about.
fn sorted(mut deployment: Deployment) -> Deployment {
    deployment.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    deployment.services.sort_by(|a, b| a.id.cmp(&b.id));
    let workspaces = deployment.workspaces.iter_mut();
    workspaces.for_each(|list| list.sort_by(|a, b| a.id.cmp(&b.id)));
    deployment
}

fn contents() -> impl Strategy<Value = Contents> {
    btree_map(0..6_u8, 0..3_u8, 0..6).prop_map(|items| items.into_iter().collect())
}

/// A deployment without a version.
fn content() -> impl Strategy<Value = Deployment> {
    let workspaces = proptest::option::of(contents());
    (contents(), contents(), workspaces, 0..3_u64).prop_map(
        |(routes, services, workspaces, limit)| {
            let mut content = deployment(0, &routes);
            content.services = services.iter().map(|(n, c)| service(*n, *c)).collect();
            content.workspaces =
                workspaces.map(|list| list.iter().map(|(n, c)| workspace(*n, *c)).collect());
            content.limits.body_bytes += limit;
            content
        },
    )
}

fn versions() -> impl Strategy<Value = Vec<Deployment>> {
    vec(content(), 2..8).prop_map(|mut versions| {
        for (version, deployment) in (1..).zip(&mut versions) {
            deployment.version = version;
        }
        versions
    })
}

proptest! {
    /// Guards against a patch that leaves out a change, or restores an item that a later version removed.
    #[test]
    fn a_patch_brings_each_version_since_its_first_up_to_date(versions in versions(), packet_bytes in 0..4000_u64) {
        let latest = sorted(versions.last().expect("a version").clone());
        let patch = patch_of(&versions, (packet_bytes, 2000));
        for base in &versions {
            let Some(patch) = &patch else { continue };

            let patched = patch.apply(base);

            if base.version >= patch.from && base.version < patch.version {
                prop_assert_eq!(patched.map(sorted), Ok(latest.clone()));
            } else {
                prop_assert_eq!(patched, Err(PatchError::OtherVersion));
            }
        }
    }

    /// Guards against a patch that is applied to a deployment which differs from that of the sender.
    #[test]
    fn a_patch_never_results_in_another_deployment(versions in versions(), mut base in content()) {
        let latest = sorted(versions.last().expect("a version").clone());
        let patch = patch_of(&versions, NO_LIMIT).expect("a patch");
        base.version = patch.from;

        let patched = patch.apply(&base);

        if let Ok(patched) = patched {
            prop_assert_eq!(sorted(patched), latest);
        }
    }
}

/// Guards against a route that stays in use on a VM that read a version which the sender of the patch skipped.
#[test]
fn a_version_that_the_sender_skipped_is_not_patched_wrongly() {
    let versions = [deployment(1, &[(1, 0)]), deployment(3, &[(1, 1)])];
    let skipped = deployment(2, &[(1, 0), (2, 0)]);
    let patch = patch_of(&versions, NO_LIMIT).expect("a patch");

    let patched = patch.apply(&skipped);

    assert_matches!(patched, Err(PatchError::OtherContent));
}

#[test]
fn a_version_that_changes_too_much_has_no_patch() {
    let routes: Vec<_> = (0..200).map(|name| (name, 0)).collect();
    let versions = [deployment(1, &[]), deployment(2, &routes)];

    assert_eq!(patch_of(&versions, NO_LIMIT), None);
}

#[test]
fn a_patch_is_no_longer_than_allowed() {
    let versions: Vec<_> = (1..=20)
        .map(|version| deployment(version.into(), &[(version, 0)]))
        .collect();

    let patch = patch_of(&versions, (1000, 1000)).expect("a patch");

    let bytes = serde_json::to_vec(&patch.changes).map(|json| json.len());
    assert_matches!(bytes, Ok(500..=1010));
    assert_eq!(patch.version, 20);
    assert_eq!(patch_of(&versions, (1000, 10)), None);
}

/// Guards against patches that hold earlier versions as well as long as they are small enough for several packets, of which each may
/// be lost.
#[test]
fn earlier_versions_are_left_out_of_a_patch_that_needs_several_packets() {
    let routes = [(0, 0), (1, 1), (2, 2)];
    let versions = [
        deployment(1, &routes[..1]),
        deployment(2, &routes[..2]),
        deployment(3, &routes),
    ];

    let patch = patch_of(&versions, (100, 1000)).expect("a patch");

    assert_eq!((patch.from, patch.version), (2, 3));
}
