//! Plays a case of review 2 with real processes on loopback, and judges it by what clients, upstreams and the store have seen.
//!
//! `standin-2 CASE ROOT RECORD`: ROOT is the repository, RECORD the file that is written. TROUBLE=0 leaves the disruption out.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod cases;
mod client;
mod datagrams;
mod http;
mod proxy;
mod record;
mod store;
mod upstream;
mod vm;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record] = &args[..] else {
        eprintln!("usage: standin-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = record::Record::new(PathBuf::from(record));
    let result = cases::play(case, &PathBuf::from(root), with_trouble, &mut record);
    let code = match result {
        Ok(true) => {
            record.line("verdict: the rule held");
            0
        }
        Ok(false) => {
            record.line("verdict: the rule was broken");
            1
        }
        Err(reason) => {
            record.line(&format!("verdict: the case could not run: {reason}"));
            2
        }
    };
    record.write();
    ExitCode::from(code)
}
