//! Short runs of the soak with real processes of the edge daemon. The only test in this file, because a run takes most of the
//! machine. Runs with fresh seeds are made by hand with the program `soak`.

use std::path::PathBuf;
use std::sync::Arc;

use async_executor::Executor;
use futures_lite::future;
use waxwing_soak::{Plan, SoakSettings, run_soak};
use waxwing_types::Millis;

/// Length of a run.
const LENGTH: Millis = Millis::from_secs(40);
/// Callers at the same time: few, because the daemons are built without optimization.
const CALLERS: usize = 16;
/// Threads that run callers, targets and the store.
const WORKER_THREADS: usize = 2;

/// Seeds that once showed a fault, with the fault.
const SEEDS: [(u64, &str); 2] = [
    (
        1,
        "a workspace got 161 requests of 152 in a window after planned stops: two coordinators refilled the same shares",
    ),
    (
        40,
        "401, 404 and a withdrawn key in use after the store was silent, and again after it came back from a copy",
    ),
];

/// Guards against promises of the daemon that do not hold under faults that overlap: each seed once broke one.
#[test]
fn seeds_that_once_broke_a_promise_hold() {
    let executor = Arc::new(Executor::new());
    for _ in 0..WORKER_THREADS {
        let executor = Arc::clone(&executor);
        std::thread::spawn(move || {
            async_io::block_on(executor.run(future::pending::<()>()));
        });
    }
    for (seed, fault) in SEEDS {
        let settings = SoakSettings {
            program: PathBuf::from(env!("CARGO_BIN_EXE_waxwingrail")),
            logs: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
            callers: CALLERS,
        };
        let plan = Plan::new(seed, LENGTH);
        let outcome = async_io::block_on(run_soak(&executor, &settings, &plan));
        let outcome = outcome.expect("the run starts");
        let logs = settings.logs.display();
        assert!(
            outcome.violations.is_empty(),
            "seed {seed} ({fault}), logs in {logs}: {:#?}",
            outcome.violations
        );
    }
}
