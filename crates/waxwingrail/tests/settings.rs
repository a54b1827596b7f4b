//! Tests of settings from flags and environment variables.

use std::collections::HashMap;
use std::ffi::OsString;

use assert_matches::assert_matches;
use waxwing_records::Findings;
use waxwing_types::Millis;
use waxwingrail::{Command, LogFormat, Settings, read_settings};

/// Flags for all settings without a default.
const REQUIRED_FLAGS: &[&str] = &[
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

/// Reads valid settings from the required flags and further ones.
fn read_valid(more_flags: &[&str], env: &[(&str, &str)]) -> Settings {
    let args: Vec<_> = REQUIRED_FLAGS.iter().chain(more_flags).copied().collect();
    match read(&args, env) {
        Ok(Command::Run(settings)) => settings,
        other => panic!("{other:?}"),
    }
}

/// The flags and variables that have errors.
fn places_of_errors(result: Result<Command, Findings>) -> Vec<String> {
    let findings = result.unwrap_err().0;
    findings.into_iter().map(|finding| finding.place).collect()
}

/// Guards against an environment variable that overrides a flag, and against a default that is not
/// applied.
#[test]
fn flags_override_variables_and_defaults() {
    let env = [
        ("WAXWINGRAIL_LOG_FORMAT", "json"),
        ("WAXWINGRAIL_DRAIN_TIMEOUT_MS", "9000"),
    ];
    let settings = read_valid(&["--drain-timeout-ms=8000"], &env);
    assert_eq!(settings.log_format, LogFormat::Json);
    assert_eq!(settings.drain_timeout, Millis(8000));
    assert_eq!(settings.drain_notice, Millis(2000));
    assert!(settings.workers > 0);
}

/// Guards against errors that are reported one at a time, so that an operator needs several attempts.
#[test]
fn all_errors_are_reported_together() {
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
    let places = places_of_errors(result);
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

/// Guards against accepting settings that are in conflict with each other.
#[test]
fn conflicting_settings_are_reported() {
    let args: Vec<_> = REQUIRED_FLAGS
        .iter()
        .copied()
        .chain([
            "--listen=127.0.0.1:8081",
            "--admin=127.0.0.1:8082",
            "--drain-notice-ms=70000",
        ])
        .collect();
    let places = places_of_errors(read(&args, &[]));
    // The defaults of `--peer` and `--peer-http` bind ports 8081 and 8082 on all addresses, which collides
    // with `--listen` and `--admin`.
    assert_eq!(places, ["--peer", "--admin", "--drain-notice-ms"]);
}

/// Guards against a help text without the environment variable or default of a setting.
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

/// Guards against `--check` starting the daemon or accepting invalid settings.
#[test]
fn check_validates_settings_without_starting() {
    let args: Vec<_> = REQUIRED_FLAGS.iter().copied().chain(["--check"]).collect();
    assert_matches!(read(&args, &[]), Ok(Command::Check));
    assert_matches!(read(&["--check"], &[]), Err(_));
}
