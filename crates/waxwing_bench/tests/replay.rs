//! Replays the traces against the promises and goals that they state.
//!
//! Each test guards against a change of the core that breaks a promise in one recorded situation.

use std::path::Path;

use waxwing_bench::fleet::replay;

fn run(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../traces/{name}.jsonl"));
    let trace = std::fs::read_to_string(path).expect("the trace can be read");
    if let Err(error) = replay(&trace) {
        panic!("{name}: {error:#}");
    }
}

macro_rules! traces {
    ($($name:ident)*) => { $(
        #[test]
        fn $name() {
            run(stringify!($name));
        }
    )* };
}

traces! {
    drain
    spike
    region_lost
    store_outage
    key_withdrawn_in_partition
    poison
    shift_cold
}
