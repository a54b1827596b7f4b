//! Adoption, paging, age and queries of the table of records.

use waxwing_core::{ApplyOutcome, Config, LimitKey, ParsedRecord, RecordPage, VersionedRecord};
use waxwing_records::KeyHash;
use waxwing_types::{DomainId, Micros, Millis, RefusalReason, Revision, WorkspaceId};

const NOW: Millis = Millis(100_000);

fn record(path: &str, version: u64, spec: &str) -> VersionedRecord {
    let (kind, name) = path.split_once('/').expect("a path");
    let json = format!(r#"{{"schema":1,"kind":"{kind}","name":"{name}","spec":{spec}}}"#);
    VersionedRecord {
        path: format!("config/{path}").into(),
        version: Revision(version),
        value: json.into_bytes(),
    }
}

fn workspace(name: &str, version: u64, rate: u64) -> VersionedRecord {
    let spec = format!(r#"{{"rate":{rate},"burst":10}}"#);
    record(&format!("workspace/{name}"), version, &spec)
}

fn region(name: &str, version: u64, domains: &[&str]) -> VersionedRecord {
    let domains: Vec<_> = domains
        .iter()
        .map(|d| format!(r#"{{"name":"{d}"}}"#))
        .collect();
    let list = domains.join(",");
    let spec = format!(r#"{{"domains":[{list}],"spare_rate":5,"spare_burst":5}}"#);
    record(&format!("region/{name}"), version, &spec)
}

fn config(records: Vec<VersionedRecord>) -> Config {
    let mut config = Config::new();
    let reached = records.iter().map(|r| r.version).max().unwrap_or_default();
    let page = RecordPage::from_store(Revision(0), reached, false, records);
    config.apply_store_page(NOW, NOW, page);
    config
}

fn page(
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

fn rate(config: &Config, name: &str) -> Option<u64> {
    config.workspace(&WorkspaceId::from(name)).map(|w| w.rate)
}

/// Fails if a late message can undo a change.
#[test]
fn a_lower_version_is_not_adopted() {
    let mut config = config(vec![workspace("a", 7, 70)]);

    let outcome = config.apply(NOW, ParsedRecord::parse(workspace("a", 6, 60)));

    assert_eq!(outcome, ApplyOutcome::NotNewer);
    assert_eq!(rate(&config, "a"), Some(70));
}

/// Fails if an invalid record stops a service, the revision or the exchange between peers.
#[test]
fn an_invalid_record_travels_and_leaves_the_one_in_force() {
    let mut config = config(vec![workspace("a", 7, 70)]);

    let reply = page(7, 8, Millis(0), false, vec![workspace("a", 8, 0)]);
    config.apply_peer_page(NOW, NOW, reply);

    assert_eq!(rate(&config, "a"), Some(70));
    assert_eq!(config.revision(), Revision(8));
    assert_eq!(config.counts().rejected, 1);
    let sent = config.delta(NOW, Revision(7), 1000).records;
    assert_eq!(sent, vec![workspace("a", 8, 0)]);
    assert_eq!(config.rejected_records().count(), 1);
}

/// Fails if a record is put in force under another path than its own.
#[test]
fn a_record_at_a_wrong_path_is_rejected() {
    let mut stray = workspace("a", 3, 30);
    stray.path = "config/workspace/b".into();

    let config = config(vec![stray]);

    assert_eq!(rate(&config, "a"), None);
    assert_eq!(config.rejected_records().count(), 1);
}

/// Fails if a record that was replaced between two pages is skipped by the revision in force.
#[test]
fn pages_of_two_peers_do_not_skip_a_replaced_record() {
    let mut new = Config::new();
    // One peer at revision 100 sends its first page; "c" was replaced and comes later.
    let first = page(0, 100, Millis(0), true, vec![workspace("a", 40, 1)]);
    new.apply_peer_page(NOW, NOW, first);
    // Another at revision 60 still holds the earlier "c" at 30 and believes it was sent.
    new.apply_peer_page(NOW, NOW, page(40, 60, Millis(0), false, vec![]));
    assert_eq!(new.revision(), Revision(0));
    assert_eq!(new.peer_cursor(), Revision(0));

    let all = vec![workspace("a", 40, 1), workspace("c", 90, 9)];
    new.apply_peer_page(NOW, NOW, page(0, 100, Millis(0), false, all));

    assert_eq!(new.revision(), Revision(100));
}

/// Fails if the answer to a pull of a transfer that was given up counts as complete.
#[test]
fn a_page_beyond_the_position_does_not_raise_the_revision() {
    let mut config = config(vec![workspace("a", 10, 1)]);

    config.apply_peer_page(
        NOW,
        NOW,
        page(40, 100, Millis(0), false, vec![workspace("b", 90, 2)]),
    );

    assert_eq!(config.revision(), Revision(10));
    assert_eq!(rate(&config, "b"), Some(2));
}

/// Fails if a page of the store is in force before the last: a record that was replaced by one of a
/// later page is missing until then.
#[test]
fn pages_of_the_store_are_in_force_with_the_last() {
    let mut config = Config::new();

    config.apply_store_page(
        NOW,
        NOW,
        page(0, 3, Millis(0), true, vec![workspace("a", 3, 1)]),
    );
    assert_eq!(config.revision(), Revision(0));
    assert_eq!(config.store_cursor(), Revision(3));
    assert_eq!(config.age(NOW), Millis::MAX);

    config.apply_store_page(NOW, NOW, page(3, 10, Millis(0), false, vec![]));
    assert_eq!(config.revision(), Revision(10));
}

/// Fails if blocks stay in force after their withdrawal, or if the table is not known to be old.
#[test]
fn withdrawn_blocks_are_gone() {
    let mut config = config(vec![record(
        "blocks/b",
        1,
        r#"{"blocks":["10.0.0.0/8 s"]}"#,
    )]);
    let before = config.block_records().generation();

    let mut withdrawn = record("blocks/b", 2, "{}");
    withdrawn.value = br#"{"schema":1,"kind":"blocks","name":"b","withdrawn":true}"#.to_vec();
    config.apply(NOW, ParsedRecord::parse(withdrawn));

    assert!(config.block_records().is_empty());
    assert!(config.block_records().generation() > before);
}

/// Fails if a replica in the middle of a transfer offers what it cannot vouch for.
#[test]
fn a_replica_with_records_above_its_revision_offers_nothing() {
    let mut config = config(vec![workspace("a", 10, 1)]);
    config.apply_peer_page(
        NOW,
        NOW,
        page(10, 30, Millis(0), true, vec![workspace("b", 20, 2)]),
    );

    let delta = config.delta(NOW, Revision(5), 1000);

    assert!(delta.records.is_empty());
    assert_eq!(delta.revision, Revision(0));
    assert_eq!(
        delta.age,
        Millis::MAX,
        "an age belongs to the revision that is named"
    );
}

/// Fails if a page exceeds its bytes or skips a record.
#[test]
fn a_delta_is_paged_in_the_order_of_versions() {
    let records: Vec<_> = (1..=9).map(|i| workspace(&format!("w{i}"), i, i)).collect();
    let config = config(records.clone());
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

/// Fails if a peer's word counts as younger than it is, or if a process forgets time before it began.
#[test]
fn age_is_learnt_through_peers() {
    let mut config = Config::new();
    assert_eq!(config.age(NOW), Millis::MAX);

    let early = Millis(500);
    config.apply_peer_page(
        early,
        Millis(400),
        page(0, 3, Millis(9000), false, vec![workspace("a", 3, 1)]),
    );
    assert_eq!(config.age(early), Millis(9100));

    // A peer that never heard of the store does not count.
    config.apply_peer_page(NOW, NOW, page(3, 3, Millis::MAX, false, vec![]));
    assert_eq!(config.age(early), Millis(9100));
}

/// Fails if a key works for another secret, after its withdrawal, or on a stale configuration.
#[test]
fn keys_are_checked_by_hash_workspace_and_age() {
    let hash = KeyHash::of("k.secret");
    let spec = format!(r#"{{"workspace":"a","sha256":"{hash}"}}"#);
    let limited = r#"{"schema":2,"kind":"workspace","name":"a",
        "spec":{"limit":{"rate":1,"burst":1},"key_staleness_ms":5000}}"#;
    let mut bounded = workspace("a", 1, 1);
    bounded.value = limited.into();
    let mut config = config(vec![bounded, record("key/k", 2, &spec)]);

    let other = KeyHash::of("k.other");
    let late = NOW + Millis(5001);
    assert_eq!(
        config.check_key(NOW, "k", &hash),
        Ok(&WorkspaceId::from("a"))
    );
    assert_eq!(
        config.check_key(NOW, "k", &other),
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

/// Fails if a reference to a record that is not there blocks adoption or goes unreported.
#[test]
fn references_to_unknown_records_are_findings() {
    let hash = KeyHash::of("k.secret");
    let key = format!(r#"{{"workspace":"gone","sha256":"{hash}"}}"#);
    let shift = r#"{"service":"s","from":"r","to":"q","percent":5,"cap_rate":1,"cap_burst":1}"#;
    let records = vec![
        record("key/k", 1, &key),
        record("shift/move", 2, shift),
        region("r", 3, &["d1"]),
    ];

    let config = config(records);

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

/// Fails if a limit is divided over other failure domains than the design page states, or if a
/// change of the regions does not raise the revision of the limits that depend on it.
#[test]
fn limits_state_their_domains_and_revision() {
    let records = vec![
        workspace("a", 1, 4),
        region("r", 2, &["d1", "d2"]),
        region("q", 3, &["d3"]),
    ];

    let limits = config(records).limits();

    let of = |key: LimitKey| limits.iter().find(|l| l.key == key).expect("a limit");
    let workspace = of(LimitKey::Workspace(WorkspaceId::from("a")));
    assert_eq!(workspace.rate, Micros::from_units(4));
    assert_eq!(workspace.domains, ["d1", "d2", "d3"].map(DomainId::from));
    assert_eq!(workspace.revision, Revision(3));
    let spare = of(LimitKey::Region("r".into()));
    assert_eq!(spare.domains, ["d1", "d2"].map(DomainId::from));
}
