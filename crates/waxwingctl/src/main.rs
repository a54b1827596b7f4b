//! The operator's command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let code = waxwingctl::main(
        std::env::args_os().skip(1),
        |name| std::env::var(name).ok(),
        &mut std::io::stdout(),
        &mut std::io::stderr(),
    );
    ExitCode::from(code.number())
}
