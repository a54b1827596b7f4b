//! Command line of the `waxwingrail` daemon. With `edge` as first argument it runs the edge daemon.

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

use waxwingrail::edge::{self, EdgeCommand};
use waxwingrail::{Command, read_settings, run, start_logging};

/// Exit code for invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let mut args: Vec<OsString> = std::env::args_os().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "edge") {
        args.remove(0);
        return run_edge(args);
    }
    match read_settings(args, |name| std::env::var_os(name)) {
        Ok(Command::Run(settings)) => {
            match start_logging(settings.log_level, settings.log_format) {
                Ok(_logger) => exit_code(run(settings)),
                Err(error) => exit_code(Err(error.into())),
            }
        }
        Ok(Command::Check) => print("the settings are valid\n"),
        Ok(Command::Print(text)) => print(&text),
        Err(findings) => {
            eprintln!("{findings}");
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}

fn run_edge(args: Vec<OsString>) -> ExitCode {
    match edge::parse_command_line(args, |name| std::env::var_os(name)) {
        Ok(EdgeCommand::Run(settings)) => {
            match start_logging(settings.log_level, settings.log_format) {
                Ok(_logger) => exit_code(edge::run(settings)),
                Err(error) => exit_code(Err(error.into())),
            }
        }
        Ok(EdgeCommand::Check) => print("the settings are valid\n"),
        Ok(EdgeCommand::Print(text)) => print(&text),
        Err(findings) => {
            eprintln!("{findings}");
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}

/// Prints an error to standard error and returns the exit code.
fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("waxwingrail: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn print(text: &str) -> ExitCode {
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}
