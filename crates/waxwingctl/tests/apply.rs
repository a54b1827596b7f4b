//! `apply` and `withdraw`, alone and in a race.

mod common;

use async_io::block_on;
use common::{TempFile, ctl, ctl_async, value_at, workspace};
use serde_json::{Value, json};
use waxwing_store::{
    ChangesOutcome, Condition, Pending, ReadOutcome, Store, VmsOutcome, WriteOutcome,
};
use waxwing_testkit::{Control, MemoryStore};
use waxwing_types::{Millis, Revision};
use waxwingctl::Exit;

const PATH: &str = "config/workspace/clinic";

/// Guards against a report that hides what was created, changed or left alone.
#[test]
fn apply_says_what_it_created_changed_and_left_alone() {
    let store = MemoryStore::new();
    let both = format!(
        "[{}]\n{}",
        workspace("clinic", 20),
        workspace("hospital", 200)
    );
    let created = ctl(&store, &TempFile::new(&both).command());
    assert_eq!(created.exit, Exit::Done, "{}", created.err);
    assert!(
        created
            .out
            .contains("workspace/clinic: created (version 1)")
    );
    let changed = both.replace("\"rate\":20}", "\"rate\":30}");
    assert_ne!(changed, both);
    let changed = ctl(&store, &TempFile::new(&changed).command());
    assert_eq!(changed.exit, Exit::Done);
    let expected = "workspace/clinic: changed (version 3)\n    spec.limit.rate: 20 -> 30\n\
                    workspace/hospital: unchanged (version 2)\n";
    assert_eq!(changed.out, expected);
    assert_eq!(store.stats().puts, 3);
}

/// Guards against a report that stops at the first fault, and against valid records that are written
/// beside faulty ones.
#[test]
fn apply_reports_all_faults_of_all_files_and_writes_nothing() {
    let store = MemoryStore::new();
    let good = TempFile::new(&workspace("clinic", 20).to_string());
    let faulty = json!([
        {"schema": 1, "kind": "workspace", "name": "w", "spec": {"rate": 0, "bursts": 1}},
        {"schema": 1, "kind": "key", "name": "k", "spec": {"workspace": "nobody",
            "sha256": "0".repeat(64)}},
        workspace("clinic", 10),
    ]);
    let faulty = TempFile::new(&faulty.to_string());
    let ran = ctl(
        &store,
        &format!("{} {}", good.command(), faulty.0.display()),
    );
    assert_eq!(ran.exit, Exit::Invalid);
    for expected in [
        "record 1: workspace/w: spec.burst: missing",
        "record 1: workspace/w: spec.bursts: unknown field",
        "key/k: spec.workspace: no workspace \"nobody\"",
        "workspace/clinic: stands twice",
    ] {
        assert!(
            ran.err.contains(expected),
            "{expected} not in:\n{}",
            ran.err
        );
    }
    assert_eq!(store.stats().puts, 0);
}

/// A store in which another operator writes right before the first write of this one.
struct Race {
    inner: MemoryStore,
    other: Value,
    armed: std::sync::atomic::AtomicBool,
}

impl Store for Race {
    fn get<'a>(&'a self, path: &'a str, timeout: Millis) -> Pending<'a, ReadOutcome> {
        self.inner.get(path, timeout)
    }

    fn put<'a>(
        &'a self,
        path: &'a str,
        value: Vec<u8>,
        condition: Condition,
        timeout: Millis,
    ) -> Pending<'a, WriteOutcome> {
        Box::pin(async move {
            if self.armed.swap(false, std::sync::atomic::Ordering::Relaxed) {
                let other = self.other.to_string().into_bytes();
                self.inner.put(path, other, condition, timeout).await;
            }
            self.inner.put(path, value, condition, timeout).await
        })
    }

    fn delete<'a>(
        &'a self,
        path: &'a str,
        version: Revision,
        timeout: Millis,
    ) -> Pending<'a, WriteOutcome> {
        self.inner.delete(path, version, timeout)
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
        timeout: Millis,
    ) -> Pending<'a, ChangesOutcome> {
        self.inner.changes(prefix, after, wait, timeout)
    }

    fn vms(&self, timeout: Millis) -> Pending<'_, VmsOutcome> {
        self.inner.vms(timeout)
    }
}

/// Guards against a second operator who overwrites the first one's change without being told.
#[test]
fn loser_of_a_race_is_told_the_difference() {
    for exists in [false, true] {
        let store = Race {
            inner: MemoryStore::new(),
            other: workspace("clinic", 50),
            armed: std::sync::atomic::AtomicBool::new(false),
        };
        if exists {
            ctl(
                &store,
                &TempFile::new(&workspace("clinic", 10).to_string()).command(),
            );
        }
        store
            .armed
            .store(true, std::sync::atomic::Ordering::Relaxed);
        let mine = TempFile::new(&workspace("clinic", 20).to_string());
        let ran = ctl(&store, &mine.command());
        assert_eq!(ran.exit, Exit::Conflict);
        assert!(
            ran.out.contains("workspace/clinic: conflict"),
            "{}",
            ran.out
        );
        assert!(ran.out.contains("spec.limit.rate: 50 -> 20"), "{}", ran.out);
        assert_eq!(value_at(&store.inner, PATH), workspace("clinic", 50));
    }
}

/// Guards against a race that both operators win, whatever the interleaving: both edited version 1.
#[test]
fn of_two_concurrent_operators_exactly_one_wins() {
    let store = MemoryStore::new();
    ctl(
        &store,
        &TempFile::new(&workspace("clinic", 10).to_string()).command(),
    );
    store.control(Control {
        delay_ms: Some(5),
        ..Control::default()
    });
    let edited = |rate| json!({"version": 1, "record": workspace("clinic", rate)}).to_string();
    let files = [20, 30].map(|rate| TempFile::new(&edited(rate)));
    let commands = files.each_ref().map(TempFile::command);
    let [first, second] = &commands;
    let both = async {
        futures_lite::future::zip(ctl_async(&store, first), ctl_async(&store, second)).await
    };
    let (a, b) = block_on(both);
    let mut exits = [a.exit, b.exit];
    exits.sort();
    assert_eq!(exits, [Exit::Done, Exit::Conflict]);
    let loser = if a.exit == Exit::Conflict { a } else { b };
    assert!(loser.out.contains("spec.limit.rate: "), "{}", loser.out);
}

/// Guards against an edit of an old version that undoes what came in between.
#[test]
fn edited_output_of_get_is_written_only_over_its_version() {
    let store = MemoryStore::new();
    let apply = |value: &Value| ctl(&store, &TempFile::new(&value.to_string()).command());
    apply(&workspace("clinic", 10));
    let got = ctl(&store, "get workspace clinic --json");
    let mut edited: Value = serde_json::from_str(&got.out).unwrap();
    edited["record"]["spec"]["weight"] = json!(7);
    apply(&workspace("clinic", 50));
    let ran = apply(&edited);
    assert_eq!(ran.exit, Exit::Conflict);
    assert!(ran.out.contains("spec.limit.rate: 50 -> 10"), "{}", ran.out);
    edited["version"] = json!(2);
    assert_eq!(apply(&edited).exit, Exit::Done);
    assert_eq!(value_at(&store, PATH)["spec"]["weight"], json!(7));
}

/// Guards against a write that took effect and is reported as failed, or done twice.
#[test]
fn lost_answer_is_resolved_by_reading_back() {
    let store = MemoryStore::new();
    store.control(Control {
        lose_answers: Some(1),
        ..Control::default()
    });
    let file = TempFile::new(&workspace("clinic", 10).to_string());
    let ran = ctl(&store, &file.command());
    assert_eq!((ran.exit, store.stats().puts), (Exit::Done, 1));
    assert!(ran.out.contains("created (version 1)"), "{}", ran.out);
}

/// Guards against an outage that is reported as success or as a faulty record.
#[test]
fn outage_fails_the_command() {
    let store = MemoryStore::new();
    store.control(Control {
        outage: Some(true),
        ..Control::default()
    });
    let file = TempFile::new(&workspace("clinic", 10).to_string());
    for line in [file.command().as_str(), "get", "status", "withdraw key k"] {
        let ran = ctl(&store, line);
        assert_eq!(ran.exit, Exit::Failed, "{line}");
        assert!(
            ran.err.contains("store: cannot be reached"),
            "{line}: {}",
            ran.err
        );
    }
}

/// Guards against a withdrawal that removes the object, so that daemons never learn of it.
#[test]
fn withdraw_leaves_a_mark_with_a_higher_version() {
    let store = MemoryStore::new();
    ctl(
        &store,
        &TempFile::new(&workspace("clinic", 10).to_string()).command(),
    );
    let ran = ctl(&store, "withdraw workspace clinic");
    assert_eq!(ran.out, "workspace/clinic: withdrawn (version 2)\n");
    assert_eq!(value_at(&store, PATH)["withdrawn"], json!(true));
    let again = ctl(&store, "withdraw workspace clinic");
    assert!(again.out.contains("unchanged (version 2)"), "{}", again.out);
    assert_eq!(ctl(&store, "withdraw workspace other").exit, Exit::Absent);
}
