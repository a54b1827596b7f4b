//! The process: worker threads, signals, and the life of the daemon between them.

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
use crate::state::Dependencies;

/// Worker threads that run an executor until they are stopped.
pub struct Workers {
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
    panic_count: Arc<AtomicU64>,
}

impl Workers {
    /// Starts threads.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(executor: &Arc<Executor<'static>>, count: usize) -> std::io::Result<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        let panic_count = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::with_capacity(count);
        for i in 0..count {
            let (executor, stopped) = (Arc::clone(executor), stopped.clone());
            let panic_count = Arc::clone(&panic_count);
            let thread = std::thread::Builder::new().name(format!("worker-{i}"));
            threads.push(thread.spawn(move || work(&executor, &stopped, &panic_count))?);
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
            // A worker catches its panics.
            let _ = thread.join();
        }
    }

    /// Counts the panics that the threads caught.
    pub fn panic_count(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.panic_count)
    }
}

/// Runs tasks. A panic ends the task that caused it and no other.
fn work(executor: &Executor<'static>, stopped: &Receiver<()>, panic_count: &AtomicU64) {
    let run = || {
        // The channel is closed, never sent to.
        let _ = async_io::block_on(executor.run(stopped.recv()));
    };
    while catch_unwind(AssertUnwindSafe(run)).is_err() {
        panic_count.fetch_add(1, Ordering::Relaxed);
        log::error!("a task panicked");
    }
}

/// Runs the daemon until SIGTERM or SIGINT, and stops it gracefully.
///
/// # Errors
/// Threads, signals or addresses are not available.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let executor = Arc::new(Executor::new());
    let workers = Workers::start(&executor, settings.workers).context("worker threads")?;
    let life = executor.spawn(live(settings, Arc::clone(&executor), workers.panic_count()));
    // Not `async_io::block_on`, with which this idle thread would take the place of a worker in the
    // reactor and wake another one for each event.
    let result = futures_lite::future::block_on(life);
    workers.stop();
    result
}

async fn live(
    settings: Settings,
    executor: Arc<Executor<'static>>,
    panic_count: Arc<AtomicU64>,
) -> anyhow::Result<()> {
    let mut signals = StopSignals::new()?;
    let store = Client::new(Arc::clone(&executor), ClientLimits::default());
    let targets = ClientLimits {
        idle: settings.idle_connections,
        connect: settings.connect_timeout.duration(),
        ..ClientLimits::default()
    };
    let dependencies = Dependencies {
        clock: Arc::new(MonotonicClock::new()),
        store: Arc::new(HttpStore::new(store, settings.store)),
        executor: Arc::clone(&executor),
        client: Client::new(Arc::clone(&executor), targets),
        incarnation: new_incarnation(),
        panic_count,
    };
    let daemon = Daemon::start(settings, dependencies).await?;
    signals.wait().await;
    daemon.stop().await;
    Ok(())
}

/// A number that is higher for each later process of the VM, which keeps nothing else over a
/// restart than its wall clock.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or(Duration::ZERO);
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
