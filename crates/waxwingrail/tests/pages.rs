//! Compares docs/OPERATIONS.md with the code, in both directions.
//!
//! Guards against settings, metrics, reasons and log events that exist in one of them only.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use waxwing_types::{RefusalReason, RetryReason};
use waxwingrail::{Command, read_settings};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The first cells of the tables under a heading, without their backticks.
fn documented(heading: &str) -> BTreeSet<String> {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("the page exists");
    let section = page
        .split("\n## ")
        .find(|s| s.starts_with(heading))
        .expect("the heading exists");
    let cells = section.lines().filter_map(|l| l.strip_prefix("| `"));
    cells
        .filter_map(|l| l.split_once('`'))
        .map(|(cell, _)| cell.to_owned())
        .collect()
}

/// The texts of all source files of the daemon.
fn sources(folder: &Path, out: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            sources(&path, out);
        } else if path.extension().is_some_and(|e| e == "rs") {
            out.push(fs::read_to_string(path).expect("the file is text"));
        }
    }
}

fn daemon_sources() -> Vec<String> {
    let mut out = Vec::new();
    sources(&root().join("crates/waxwingrail/src"), &mut out);
    out
}

/// The messages of the log statements that start with `start`.
fn messages(start: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for source in daemon_sources() {
        let statements = source.split(start).skip(1);
        found.extend(statements.filter_map(|s| s.split('"').nth(1).map(str::to_owned)));
    }
    found
}

#[test]
fn settings_are_documented() {
    let Ok(Command::Print(help)) = read_settings(vec!["--help".into()], |_| None) else {
        panic!("--help prints a text");
    };
    let flags = help.lines().filter_map(|l| l.strip_prefix("  --"));
    let flags = flags.filter(|l| l.contains('<'));
    let names = flags.filter_map(|l| l.split_whitespace().next());
    let known: BTreeSet<_> = names.map(|n| format!("--{n}")).collect();

    assert_eq!(documented("Settings"), known);
}

#[test]
fn metrics_are_documented() {
    let mut known = BTreeSet::new();
    for source in daemon_sources() {
        let names = source.split("!(\"waxwing_").skip(1);
        let names = names.filter_map(|part| part.split_once('"'));
        known.extend(names.map(|(name, _)| format!("waxwing_{name}")));
    }

    assert_eq!(documented("Metrics"), known);
}

#[test]
fn reasons_are_documented() {
    let refusals = RefusalReason::ALL.iter().map(ToString::to_string);
    let retries = RetryReason::ALL.iter().map(ToString::to_string);

    assert_eq!(documented("Refusal reasons"), refusals.collect());
    assert_eq!(documented("Retry reasons"), retries.collect());
}

#[test]
fn log_events_are_documented() {
    let mut known = messages("log::info!(");
    known.extend(messages("log::warn!("));
    known.extend(messages("log::error!("));

    assert_eq!(documented("Log events"), known);
}
