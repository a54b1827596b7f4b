//! Tests of how a replica applies, pages and queries records, and of the configuration's age.

use waxwing_core::{ApplyOutcome, Config, LimitKey, ParsedRecord, RecordPage, VersionedRecord};
use waxwing_records::KeyHash;
use waxwing_types::{DomainId, Micros, Millis, RefusalReason, Revision, WorkspaceId};

const NOW: Millis = Millis(100_000);

/// Builds a record at `config/{path}`, where `path` is its kind and its name.
fn record(path: &str, version: u64, spec: &str) -> VersionedRecord {
    let (kind, name) = path.split_once('/').expect("a path");
    let json = format!(r#"{{"schema":1,"kind":"{kind}","name":"{name}","spec":{spec}}}"#);
    VersionedRecord {
        path: format!("config/{path}").into(),
        version: Revision(version),
        value: json.into_bytes(),
    }
}

/// Builds a workspace record. It is invalid if the rate is 0.
fn workspace_record(name: &str, version: u64, rate: u64) -> VersionedRecord {
    let spec = format!(r#"{{"rate":{rate},"burst":10}}"#);
    record(&format!("workspace/{name}"), version, &spec)
}

fn region_record(name: &str, version: u64, domains: &[&str]) -> VersionedRecord {
    let domains: Vec<_> = domains
        .iter()
        .map(|d| format!(r#"{{"name":"{d}"}}"#))
        .collect();
    let list = domains.join(",");
    let spec = format!(r#"{{"domains":[{list}],"spare_rate":5,"spare_burst":5}}"#);
    record(&format!("region/{name}"), version, &spec)
}

/// Builds a replica that has read all records from the store.
fn config_from_store(records: Vec<VersionedRecord>) -> Config {
    let mut config = Config::new();
    let revision = records.iter().map(|r| r.version).max().unwrap_or_default();
    let page = RecordPage::from_store(Revision(0), revision, false, records);
    config.apply_store_page(NOW, NOW, page);
    config
}

/// Builds a page from a peer or from the store, with the age that a peer reports.
fn record_page(
    after: u64,
    revision: u64,
    age: Millis,
    more: bool,
    records: Vec<VersionedRecord>,
) -> RecordPage {
    let mut page = RecordPage::from_store(Revision(after), Revision(revision), more, records);
    page.age = age;
    page
}

/// The rate of the active record of a workspace.
fn active_rate(config: &Config, name: &str) -> Option<u64> {
    config.workspace(&WorkspaceId::from(name)).map(|w| w.rate)
}

/// Fails if a message that arrives late replaces a record by an older version.
#[test]
fn a_lower_version_is_not_applied() {
    let mut config = config_from_store(vec![workspace_record("a", 7, 70)]);

    let outcome = config.apply(NOW, ParsedRecord::parse(workspace_record("a", 6, 60)));

    assert_eq!(outcome, ApplyOutcome::NotNewer);
    assert_eq!(active_rate(&config, "a"), Some(70));
}

/// Fails if an invalid version of a record deactivates the valid version, keeps the revision from
/// rising or is not sent to peers.
#[test]
fn an_invalid_version_is_forwarded_and_leaves_the_active_version() {
    let mut config = config_from_store(vec![workspace_record("a", 7, 70)]);

    let page = record_page(7, 8, Millis(0), false, vec![workspace_record("a", 8, 0)]);
    config.apply_peer_page(NOW, NOW, page);

    assert_eq!(active_rate(&config, "a"), Some(70));
    assert_eq!(config.revision(), Revision(8));
    assert_eq!(config.counts().rejected, 1);
    let sent = config.delta(NOW, Revision(7), 1000).records;
    assert_eq!(sent, vec![workspace_record("a", 8, 0)]);
    assert_eq!(config.rejected_records().count(), 1);
}

/// Fails if a record becomes active although its path does not match its name.
#[test]
fn a_record_at_a_wrong_path_is_rejected() {
    let mut misplaced = workspace_record("a", 3, 30);
    misplaced.path = "config/workspace/b".into();

    let config = config_from_store(vec![misplaced]);

    assert_eq!(active_rate(&config, "a"), None);
    assert_eq!(config.rejected_records().count(), 1);
}

/// Fails if the revision rises although a record that was replaced between two pages is missing.
#[test]
fn pages_of_two_peers_do_not_skip_a_replaced_record() {
    let mut config = Config::new();
    // A peer at revision 100 sends its first page. Its version of "c", 90, comes on a later page.
    let first = record_page(0, 100, Millis(0), true, vec![workspace_record("a", 40, 1)]);
    config.apply_peer_page(NOW, NOW, first);
    // A peer at revision 60 still holds version 30 of "c". It sends no version of "c", because the
    // request asks for versions after 40.
    config.apply_peer_page(NOW, NOW, record_page(40, 60, Millis(0), false, vec![]));
    assert_eq!(config.revision(), Revision(0));
    assert_eq!(config.peer_cursor(), Revision(0));

    let all = vec![workspace_record("a", 40, 1), workspace_record("c", 90, 9)];
    config.apply_peer_page(NOW, NOW, record_page(0, 100, Millis(0), false, all));

    assert_eq!(config.revision(), Revision(100));
}

/// Fails if the last page of an abandoned transfer raises the revision. The page starts after
/// version 40, but this replica holds the records up to version 10 only.
#[test]
fn a_page_after_the_cursor_does_not_raise_the_revision() {
    let mut config = config_from_store(vec![workspace_record("a", 10, 1)]);

    config.apply_peer_page(
        NOW,
        NOW,
        record_page(
            40,
            100,
            Millis(0),
            false,
            vec![workspace_record("b", 90, 2)],
        ),
    );

    assert_eq!(config.revision(), Revision(10));
    assert_eq!(active_rate(&config, "b"), Some(2));
}

/// Fails if the revision rises before the last page from the store. A record that was replaced may
/// be missing until its new version arrives on a later page.
#[test]
fn the_revision_rises_with_the_last_page_of_the_store() {
    let mut config = Config::new();

    config.apply_store_page(
        NOW,
        NOW,
        record_page(0, 3, Millis(0), true, vec![workspace_record("a", 3, 1)]),
    );
    assert_eq!(config.revision(), Revision(0));
    assert_eq!(config.store_cursor(), Revision(3));
    assert_eq!(config.age(NOW), Millis::MAX);

    config.apply_store_page(NOW, NOW, record_page(3, 10, Millis(0), false, vec![]));
    assert_eq!(config.revision(), Revision(10));
}

/// Fails if blocks stay active after their withdrawal, or if the generation does not rise. A table
/// that was built before is out of date, which only the generation shows.
#[test]
fn withdrawn_blocks_are_removed() {
    let mut config = config_from_store(vec![record(
        "blocks/b",
        1,
        r#"{"blocks":["10.0.0.0/8 s"]}"#,
    )]);
    let generation_before = config.block_records().generation();

    let mut withdrawn = record("blocks/b", 2, "{}");
    withdrawn.value = br#"{"schema":1,"kind":"blocks","name":"b","withdrawn":true}"#.to_vec();
    config.apply(NOW, ParsedRecord::parse(withdrawn));

    assert!(config.block_records().is_empty());
    assert!(config.block_records().generation() > generation_before);
}

/// Fails if a replica in the middle of a transfer sends records or an age to peers. Records that
/// were replaced during the transfer may be missing on the replica.
#[test]
fn a_replica_with_records_above_its_revision_sends_nothing() {
    let mut config = config_from_store(vec![workspace_record("a", 10, 1)]);
    config.apply_peer_page(
        NOW,
        NOW,
        record_page(10, 30, Millis(0), true, vec![workspace_record("b", 20, 2)]),
    );

    let delta = config.delta(NOW, Revision(5), 1000);

    assert!(delta.records.is_empty());
    assert_eq!(delta.revision, Revision(0));
    assert_eq!(
        delta.age,
        Millis::MAX,
        "the age holds for the actual revision, not for the reported revision"
    );
}

/// Fails if a page exceeds the requested size of 200 bytes, which two records fill, or if a record
/// is missing on all pages.
#[test]
fn a_delta_is_paged_in_the_order_of_versions() {
    let records: Vec<_> = (1..=9)
        .map(|i| workspace_record(&format!("w{i}"), i, i))
        .collect();
    let config = config_from_store(records.clone());
    let mut received = Vec::new();
    let mut after = Revision(0);
    loop {
        let delta = config.delta(NOW, after, 200);
        assert!(delta.records.len() <= 2);
        received.extend(delta.records);
        after = received.last().map(|r| r.version).expect("a record");
        if !delta.more {
            break;
        }
    }

    assert_eq!(received, records);
}

/// Fails if the age of the configuration that results from the reply of a peer is too low. The age
/// may exceed the time since the process started.
#[test]
fn the_age_is_learned_from_peers() {
    let mut config = Config::new();
    assert_eq!(config.age(NOW), Millis::MAX);

    let soon_after_start = Millis(500);
    config.apply_peer_page(
        soon_after_start,
        Millis(400),
        record_page(0, 3, Millis(9000), false, vec![workspace_record("a", 3, 1)]),
    );
    // The age at the peer, and the 100 ms since the pull was sent.
    assert_eq!(config.age(soon_after_start), Millis(9100));

    // A peer that does not know the age of its own configuration has no effect.
    config.apply_peer_page(NOW, NOW, record_page(3, 3, Millis::MAX, false, vec![]));
    assert_eq!(config.age(soon_after_start), Millis(9100));
}

/// Fails if a key is accepted with a wrong secret, after its withdrawal or with a stale
/// configuration.
#[test]
fn keys_are_checked_by_hash_workspace_and_age() {
    let hash = KeyHash::of("k.secret");
    let spec = format!(r#"{{"workspace":"a","sha256":"{hash}"}}"#);
    let workspace_json = r#"{"schema":2,"kind":"workspace","name":"a",
        "spec":{"limit":{"rate":1,"burst":1},"key_staleness_ms":5000}}"#;
    let mut workspace = workspace_record("a", 1, 1);
    workspace.value = workspace_json.into();
    let mut config = config_from_store(vec![workspace, record("key/k", 2, &spec)]);

    let wrong_hash = KeyHash::of("k.other");
    let late = NOW + Millis(5001);
    assert_eq!(
        config.check_key(NOW, "k", &hash),
        Ok(&WorkspaceId::from("a"))
    );
    assert_eq!(
        config.check_key(NOW, "k", &wrong_hash),
        Err(RefusalReason::KeyInvalid)
    );
    assert_eq!(
        config.check_key(NOW, "x", &hash),
        Err(RefusalReason::KeyInvalid)
    );
    assert_eq!(
        config.check_key(late, "k", &hash),
        Err(RefusalReason::ConfigStale)
    );

    let mut withdrawn = record("key/k", 3, "{}");
    withdrawn.value = br#"{"schema":1,"kind":"key","name":"k","withdrawn":true}"#.to_vec();
    let outcome = config.apply(NOW, ParsedRecord::parse(withdrawn));
    assert_eq!(outcome, ApplyOutcome::Withdrawn);
    assert_eq!(config.workspace_for_key("k", &hash), None);
}

/// Fails if a record that refers to an unknown record is not applied, or if the reference is not
/// reported.
#[test]
fn references_to_unknown_records_are_findings() {
    let hash = KeyHash::of("k.secret");
    let key = format!(r#"{{"workspace":"gone","sha256":"{hash}"}}"#);
    let shift = r#"{"service":"s","from":"r","to":"q","percent":5,"cap_rate":1,"cap_burst":1}"#;
    let records = vec![
        record("key/k", 1, &key),
        record("shift/move", 2, shift),
        region_record("r", 3, &["d1"]),
    ];

    let config = config_from_store(records);

    assert_eq!(config.counts().applied, 3);
    let places: Vec<_> = config
        .cross_record_findings()
        .0
        .into_iter()
        .map(|f| f.place)
        .collect();
    let expected = [
        "key/k: spec.workspace",
        "shift/move: spec.service",
        "shift/move: spec.to",
    ];
    assert_eq!(places, expected);
}

/// Fails if a limit is divided over the wrong failure domains, or if a change of the regions does
/// not raise the revision of the limits that depend on the regions.
///
/// The limit of a workspace that lists no domains is divided over all domains. The limit of a
/// region is divided over the domains of the region.
#[test]
fn limits_have_the_domains_and_revision_of_their_records() {
    let records = vec![
        workspace_record("a", 1, 4),
        region_record("r", 2, &["d1", "d2"]),
        region_record("q", 3, &["d3"]),
    ];

    let limits = config_from_store(records).limits();

    let limit = |key: LimitKey| limits.iter().find(|l| l.key == key).expect("a limit");
    let workspace = limit(LimitKey::Workspace(WorkspaceId::from("a")));
    assert_eq!(workspace.rate, Micros::from_units(4));
    assert_eq!(workspace.domains, ["d1", "d2", "d3"].map(DomainId::from));
    assert_eq!(workspace.revision, Revision(3));
    let region = limit(LimitKey::Region("r".into()));
    assert_eq!(region.domains, ["d1", "d2"].map(DomainId::from));
}
