//! Runs the daemon as a process: starts the worker threads, and stops the daemon at a stop signal.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context as _;
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use waxwing_http::{Client, ClientLimits};
use waxwing_store::HttpStore;
use waxwing_types::{Incarnation, MonotonicClock};

use crate::daemon::Daemon;
use crate::settings::Settings;
use crate::signal::StopSignals;
use crate::state::DaemonComponents;

/// Worker threads that run an executor until they are stopped.
pub struct Workers {
    /// Closed to stop the threads; nothing is sent.
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
    panic_count: Arc<AtomicU64>,
}

impl Workers {
    /// Starts `count` threads that run the executor.
    ///
    /// # Errors
    /// If a thread cannot be started.
    pub fn start(executor: &Arc<Executor<'static>>, count: usize) -> std::io::Result<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        let panic_count = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::with_capacity(count);
        for index in 0..count {
            let (executor, stopped) = (Arc::clone(executor), stopped.clone());
            let panic_count = Arc::clone(&panic_count);
            let thread = std::thread::Builder::new().name(format!("worker-{index}"));
            threads.push(thread.spawn(move || run_worker(&executor, &stopped, &panic_count))?);
        }
        Ok(Self {
            stop,
            threads,
            panic_count,
        })
    }

    /// Stops the threads and waits for them.
    pub fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            // A worker catches panics, so that joining it does not fail.
            let _ = thread.join();
        }
    }

    /// Counter of the panics that the threads have caught.
    pub fn panic_count(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.panic_count)
    }
}

/// Runs tasks of the executor until the channel is closed. A panic ends only the task that caused it.
fn run_worker(executor: &Executor<'static>, stopped: &Receiver<()>, panic_count: &AtomicU64) {
    let run_tasks = || {
        // Nothing is sent on the channel: receiving fails once it is closed.
        let _ = async_io::block_on(executor.run(stopped.recv()));
    };
    while catch_unwind(AssertUnwindSafe(run_tasks)).is_err() {
        panic_count.fetch_add(1, Ordering::Relaxed);
        log::error!("a task panicked");
    }
}

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
/// If a thread or a signal handler cannot be set up, or an address cannot be bound.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let executor = Arc::new(Executor::new());
    let workers =
        Workers::start(&executor, settings.workers).context("cannot start the worker threads")?;
    let daemon = executor.spawn(run_daemon(
        settings,
        Arc::clone(&executor),
        workers.panic_count(),
    ));
    // Not `async_io::block_on`: with it this idle thread would drive the reactor in place of a worker
    // and have to wake a worker for each event.
    let result = futures_lite::future::block_on(daemon);
    workers.stop();
    result
}

async fn run_daemon(
    settings: Settings,
    executor: Arc<Executor<'static>>,
    panic_count: Arc<AtomicU64>,
) -> anyhow::Result<()> {
    let mut signals = StopSignals::new()?;
    let store_client = Client::new(Arc::clone(&executor), ClientLimits::default());
    let target_limits = ClientLimits {
        idle: settings.idle_connections,
        connect: settings.connect_timeout.duration(),
        ..ClientLimits::default()
    };
    let components = DaemonComponents {
        clock: Arc::new(MonotonicClock::new()),
        store: Arc::new(HttpStore::new(store_client, settings.store)),
        executor: Arc::clone(&executor),
        client: Client::new(Arc::clone(&executor), target_limits),
        incarnation: new_incarnation(),
        panic_count,
    };
    let daemon = Daemon::start(settings, components).await?;
    signals.wait().await;
    daemon.stop().await;
    Ok(())
}

/// Returns a number that is higher for each later process on the VM. It comes from the wall clock, the
/// only thing that a VM keeps across a restart.
pub(crate) fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let since_epoch = since_epoch.unwrap_or(Duration::ZERO);
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
