//! The scripts of the review. `waxwing_review CASE RECORD` plays one of them and writes what happened to the file RECORD.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run. With `TROUBLE=0` the disruption is left out.

mod case;
mod client;
mod edge;
mod http;
mod json;
mod scene;
mod store;
mod upstream;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Whether a script plays its disruption.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Age of what the store returns to calls with `allowStale`: seconds, as PROTOCOL.md says; 3 is what
/// `fleetbench kinds` gives for `platform_compact`, 5.5 is its `x` in kbcls-rail.toml. `STALE_MS` changes it.
pub fn stale_age() -> Duration {
    let ms = std::env::var("STALE_MS")
        .ok()
        .and_then(|ms| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(3000))
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record] = &args[..] else {
        eprintln!("usage: waxwing_review CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Path::new(record);
    let result = match name.as_str() {
        "crash" => case::crash::play(record),
        "drain" => case::drain::play(record),
        "config" => case::config::play(record),
        "quota" => case::quota::play(record),
        "stop" => case::stop::play(record),
        _ => Err(format!("no case {name}").into()),
    };
    match result {
        Ok(0) => {
            println!("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(count) => {
            println!("verdict: the rule was broken {count} times");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("verdict: the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
