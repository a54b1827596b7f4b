//! Settings for the tests of modules.

use super::settings::{EdgeCommand, EdgeSettings, parse_command_line};

/// Settings with the default limits, apart from `flags`.
pub(super) fn settings(flags: &[&str]) -> EdgeSettings {
    let required = [
        "--vm=v1",
        "--domain=a",
        "--region=r1",
        "--domains=a=r1",
        "--store=127.0.0.1:1",
        "--listen=127.0.0.1:0",
        "--directory=127.0.0.1:0",
        "--readiness=127.0.0.1:0",
        "--peer=127.0.0.1:0",
    ];
    let args = required.iter().chain(flags).map(Into::into).collect();
    match parse_command_line(args, |_| None) {
        Ok(EdgeCommand::Run(settings)) => settings,
        other => panic!("{other:?}"),
    }
}
