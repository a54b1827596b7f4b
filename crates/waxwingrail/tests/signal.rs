//! Signals to the process itself.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Settings of a daemon whose store does not answer, on any free ports.
const EDGE: &[&str] = &[
    "edge",
    "--vm=v1",
    "--domain=a",
    "--region=r1",
    "--domains=a=r1",
    "--store=127.0.0.1:1",
    "--listen=127.0.0.1:0",
    "--directory=127.0.0.1:0",
    "--readiness=127.0.0.1:0",
    "--peer=127.0.0.1:0",
    "--grace-s=4",
];

fn start(args: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_waxwingrail"))
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("a process")
}

fn signal(child: &Child, signal: Signal) {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    kill_process(pid.expect("an id"), signal).expect("signalled");
}

/// Reads log lines until one contains the text. The end of the log means that the process ended.
fn await_line(log: &mut impl BufRead, text: &str) -> bool {
    let mut line = String::new();
    while log.read_line(&mut line).expect("a log") > 0 {
        if line.contains(text) {
            return true;
        }
        line.clear();
    }
    false
}

/// Guards against a daemon that ends when the platform announces changed settings.
#[test]
fn a_daemon_goes_on_after_sighup_and_stops_after_sigterm() {
    let mut child = start(EDGE);
    let mut log = BufReader::new(child.stderr.take().expect("a log"));
    assert!(await_line(&mut log, "edge daemon started"));

    signal(&child, Signal::HUP);
    assert!(await_line(&mut log, "SIGHUP received"));
    signal(&child, Signal::TERM);

    assert!(await_line(&mut log, "stop ends"));
    assert!(child.wait().expect("an end").success());
}
