//! Checks that docs/OPERATIONS.md and the code list the same items.
//!
//! Guards against an item that is missing on the page, or that the page still lists after its removal.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use waxwing_types::{RefusalReason, RetryReason};
use waxwingrail::{Command, read_settings};

/// Directory of the Cargo workspace, which holds `docs` and `crates`.
fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the first cell of each table row under a heading, without its backticks.
fn documented_names(heading: &str) -> BTreeSet<String> {
    let page =
        fs::read_to_string(repository_root().join("docs/OPERATIONS.md")).expect("the page exists");
    let section = page
        .split("\n## ")
        .find(|section| section.starts_with(heading))
        .expect("the heading exists");
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once('`'))
        .map(|(cell, _)| cell.to_owned())
        .collect()
}

/// Reads all Rust files in a directory and its subdirectories.
fn read_sources(directory: &Path, sources: &mut Vec<String>) {
    for entry in fs::read_dir(directory).expect("the directory exists") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            read_sources(&path, sources);
        } else if path.extension().is_some_and(|e| e == "rs") {
            sources.push(fs::read_to_string(path).expect("the file is text"));
        }
    }
}

/// Texts of all source files of the daemon.
fn daemon_sources() -> Vec<String> {
    let mut sources = Vec::new();
    read_sources(
        &repository_root().join("crates/waxwingrail/src"),
        &mut sources,
    );
    sources
}

/// Returns the messages of the log statements that start with `macro_call`.
fn log_messages(macro_call: &str) -> BTreeSet<String> {
    let mut messages = BTreeSet::new();
    for source in daemon_sources() {
        let statements = source.split(macro_call).skip(1);
        messages.extend(
            statements.filter_map(|statement| statement.split('"').nth(1).map(str::to_owned)),
        );
    }
    messages
}

#[test]
fn settings_are_documented() {
    let Ok(Command::Print(help)) = read_settings(vec!["--help".into()], |_| None) else {
        panic!("--help returned no help text");
    };
    let flags = help.lines().filter_map(|line| line.strip_prefix("  --"));
    // Flags without a value, such as `--check`, are not settings.
    let flags = flags.filter(|line| line.contains('<'));
    let names = flags.filter_map(|line| line.split_whitespace().next());
    let in_code: BTreeSet<_> = names.map(|name| format!("--{name}")).collect();

    assert_eq!(documented_names("Settings"), in_code);
}

#[test]
fn metrics_are_documented() {
    let mut in_code = BTreeSet::new();
    for source in daemon_sources() {
        let names = source.split("!(\"waxwing_").skip(1);
        let names = names.filter_map(|part| part.split_once('"'));
        in_code.extend(names.map(|(name, _)| format!("waxwing_{name}")));
    }

    assert_eq!(documented_names("Metrics"), in_code);
}

#[test]
fn reasons_are_documented() {
    let refusals = RefusalReason::ALL.iter().map(ToString::to_string);
    let retries = RetryReason::ALL.iter().map(ToString::to_string);

    assert_eq!(documented_names("Refusal reasons"), refusals.collect());
    assert_eq!(documented_names("Retry reasons"), retries.collect());
}

#[test]
fn log_events_are_documented() {
    let mut in_code = log_messages("log::info!(");
    in_code.extend(log_messages("log::warn!("));
    in_code.extend(log_messages("log::error!("));

    assert_eq!(documented_names("Log events"), in_code);
}
