//! Settings from flags and environment.

use std::collections::HashMap;
use std::ffi::OsString;

use assert_matches::assert_matches;
use waxwing_records::Findings;
use waxwing_types::Millis;
use waxwingrail::{Command, LogFormat, Settings, read_settings};

const LEAST: &[&str] = &[
    "--vm=v",
    "--domain=d",
    "--region=r",
    "--store=127.0.0.1:9000",
];

fn read(args: &[&str], env: &[(&str, &str)]) -> Result<Command, Findings> {
    let args = args.iter().map(OsString::from).collect();
    let env: HashMap<_, _> = env.iter().copied().collect();
    read_settings(args, |name| env.get(name).map(OsString::from))
}

fn settings(more: &[&str], env: &[(&str, &str)]) -> Settings {
    let args: Vec<_> = LEAST.iter().chain(more).copied().collect();
    match read(&args, env) {
        Ok(Command::Run(settings)) => settings,
        other => panic!("{other:?}"),
    }
}

fn places(result: Result<Command, Findings>) -> Vec<String> {
    let findings = result.unwrap_err().0;
    findings.into_iter().map(|f| f.place).collect()
}

/// Guards against a flag that does not win over the environment, and a default that is lost.
#[test]
fn flags_win_over_variables_and_defaults() {
    let env = [
        ("WAXWINGRAIL_LOG_FORMAT", "json"),
        ("WAXWINGRAIL_DRAIN_TIMEOUT_MS", "9000"),
    ];
    let read = settings(&["--drain-timeout-ms=8000"], &env);
    assert_eq!(read.log_format, LogFormat::Json);
    assert_eq!(read.drain_timeout, Millis(8000));
    assert_eq!(read.drain_notice, Millis(2000));
    assert!(read.workers > 0);
}

/// Guards against faults that are reported one at a time, so that an operator needs several tries.
#[test]
fn all_faults_are_reported_together() {
    let result = read(
        &[
            "--vm=a b",
            "--workers=0",
            "--listen=host:1",
            "--nonsense=1",
            "stray",
            "--peer",
        ],
        &[
            ("WAXWINGRAIL_LOG_LEVEL", "loud"),
            ("WAXWINGRAIL_STORE", "x"),
        ],
    );
    let places = places(result);
    for place in [
        "--vm",
        "--domain",
        "--region",
        "--workers",
        "--listen",
        "--nonsense",
        "stray",
        "--peer",
        "WAXWINGRAIL_LOG_LEVEL",
        "WAXWINGRAIL_STORE",
    ] {
        assert!(places.iter().any(|p| p == place), "{place} in {places:?}");
    }
}

/// Guards against settings that cannot work together.
#[test]
fn contradictions_are_found() {
    let args: Vec<_> = LEAST
        .iter()
        .copied()
        .chain([
            "--listen=127.0.0.1:8081",
            "--admin=127.0.0.1:8082",
            "--drain-notice-ms=70000",
        ])
        .collect();
    let places = places(read(&args, &[]));
    // The peer addresses keep their defaults on all addresses, which collide with both.
    assert_eq!(places, ["--peer", "--admin", "--drain-notice-ms"]);
}

/// Guards against a setting that `--help` does not show with its variable and default.
#[test]
fn help_shows_every_setting() {
    let help = assert_matches!(read(&["--help"], &[]), Ok(Command::Print(text)) => text);
    for part in [
        "--drain-notice-ms <ms>",
        "WAXWINGRAIL_DRAIN_NOTICE_MS",
        "default 2000",
        "--check",
    ] {
        assert!(help.contains(part), "{part}");
    }
    assert_matches!(read(&["--version"], &[]), Ok(Command::Print(text)) if text.contains('.'));
}

/// Guards against a check that starts the daemon or passes faulty settings.
#[test]
fn check_reads_and_ends() {
    let args: Vec<_> = LEAST.iter().copied().chain(["--check"]).collect();
    assert_matches!(read(&args, &[]), Ok(Command::Check));
    assert_matches!(read(&["--check"], &[]), Err(_));
}
