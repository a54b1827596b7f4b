//! The daemon on an entry VM.

use std::io::Write;
use std::process::ExitCode;

use waxwingrail::{Command, read_settings, run, start_logging};

/// Exit code for settings that are not valid.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    match read_settings(args, |name| std::env::var_os(name)) {
        Ok(Command::Run(settings)) => match start_logging(&settings) {
            Ok(_logger) => report(run(settings)),
            Err(error) => report(Err(error.into())),
        },
        Ok(Command::Check) => print("the settings are valid\n"),
        Ok(Command::Print(text)) => print(&text),
        Err(findings) => {
            eprintln!("{findings}");
            ExitCode::from(USAGE)
        }
    }
}

fn report(result: anyhow::Result<()>) -> ExitCode {
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
