//! Tests of signals to a daemon process.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Command line of an edge daemon on free ports whose store does not answer.
const EDGE_ARGS: &[&str] = &[
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

fn start_process(args: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_waxwingrail"))
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts")
}

fn send_signal(child: &Child, signal: Signal) {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    kill_process(pid.expect("the process id is valid"), signal).expect("the signal is sent");
}

/// Reads log lines until one contains the text. Returns `false` if the log ends before, because the
/// process has exited.
fn wait_for_log_line(log: &mut impl BufRead, text: &str) -> bool {
    let mut line = String::new();
    while log.read_line(&mut line).expect("the log can be read") > 0 {
        if line.contains(text) {
            return true;
        }
        line.clear();
    }
    false
}

/// Guards against a daemon that exits on SIGHUP, which the platform sends when settings have changed.
#[test]
fn daemon_survives_sighup_and_stops_on_sigterm() {
    let mut child = start_process(EDGE_ARGS);
    let mut log = BufReader::new(child.stderr.take().expect("standard error is piped"));
    assert!(wait_for_log_line(&mut log, "edge daemon started"));

    send_signal(&child, Signal::HUP);
    assert!(wait_for_log_line(&mut log, "SIGHUP received"));
    send_signal(&child, Signal::TERM);

    assert!(wait_for_log_line(&mut log, "stop ends"));
    assert!(child.wait().expect("the process can be awaited").success());
}
