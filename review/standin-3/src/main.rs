//! Stand-ins of the platform, of upstreams and of clients, and the cases that play them against real daemons.
//!
//! `standin-3 CASE FOLDER`: writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod cold;
mod crashing;
mod daemon;
mod http;
mod keep_alive;
mod links;
mod quota;
mod record;
mod scene;
mod store;
mod upstream;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("standin-3 CASE FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "quota-cut" => quota::cut(&folder, trouble),
        "quota-restart" => quota::restart(&folder, trouble),
        "cold-again" => cold::run(&folder, trouble),
        "crashing" => crashing::long(&folder, trouble),
        "crashing-left" => crashing::left(&folder, trouble),
        "keep-alive" => keep_alive::run(&folder, trouble),
        _ => {
            eprintln!("no such case: {case}");
            2
        }
    };
    std::process::exit(code);
}
