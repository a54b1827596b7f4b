//! A VM whose process can be killed or frozen, and cut off from the registry.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use waxwing_http::{Client, ClientLimits, OwnDialect};
use waxwing_records::VmEntry;
use waxwing_store::{
    Answer, Family, Freshness, ListOutcome, Pending, Registry, WatchOutcome, WriteOutcome,
};
use waxwing_testkit::MemoryRegistry;
use waxwing_types::{Incarnation, Millis, MonotonicClock, Revision};
use waxwingrail::edge::{EdgeComponents, EdgeDaemon, EdgeSettings};

/// Time for which the thread of a VM runs tasks until it looks whether it is frozen.
const SLICE: Duration = Duration::from_millis(5);

/// How a VM reaches the registry.
#[derive(Default)]
struct Link {
    /// Calls are accepted and get no answer.
    is_silent: AtomicBool,
    /// Calls are refused.
    is_refused: AtomicBool,
    /// Number of watches that waited for changes of the latest targets.
    latest_waits: AtomicUsize,
}

/// Longest time for which an answer that has begun may be on its way.
const MAX_TRANSFER_TIME: Millis = Millis::from_secs(5);

/// The registry as one VM reaches it.
#[derive(Clone)]
struct LinkedRegistry {
    registry: MemoryRegistry,
    link: Arc<Link>,
}

impl LinkedRegistry {
    /// Makes a call. It gets no answer if the link is silent at its start or becomes silent before its end.
    async fn call<T>(
        &self,
        time: Millis,
        failure: fn(String) -> T,
        call: impl Future<Output = Answer<T>>,
    ) -> Answer<T> {
        let unanswered = |reason: &str| Answer {
            outcome: failure(reason.to_owned()),
            epoch: None,
            bytes: 0,
        };
        if self.link.is_refused.load(Ordering::SeqCst) {
            return unanswered("status 503");
        }
        let answer = future::or(async { Some(call.await) }, async {
            Timer::after((time + MAX_TRANSFER_TIME).duration()).await;
            None
        })
        .await;
        if self.link.is_silent.load(Ordering::SeqCst) {
            Timer::after(time.duration()).await;
            return unanswered("no answer");
        }
        answer.unwrap_or_else(|| unanswered("no answer"))
    }
}

impl Registry for LinkedRegistry {
    fn list(
        &self,
        family: Family,
        freshness: Freshness,
        timeout: Millis,
    ) -> Pending<'_, Answer<ListOutcome>> {
        let list = self.registry.list(family, freshness, timeout);
        Box::pin(self.call(timeout, ListOutcome::Unreachable, list))
    }

    fn watch(
        &self,
        family: Family,
        after: Revision,
        freshness: Freshness,
        wait: Millis,
        timeout: Millis,
    ) -> Pending<'_, Answer<WatchOutcome>> {
        let is_latest_wait = freshness == Freshness::Latest && wait > Millis::ZERO;
        if family == Family::Targets && is_latest_wait {
            self.link.latest_waits.fetch_add(1, Ordering::SeqCst);
        }
        let watch = self
            .registry
            .watch(family, after, freshness, wait, wait + timeout);
        Box::pin(self.call(wait + timeout, WatchOutcome::Unreachable, watch))
    }

    fn announce<'a>(
        &'a self,
        vm: &'a VmEntry,
        timeout: Millis,
    ) -> Pending<'a, Answer<WriteOutcome>> {
        let announce = self.registry.announce(vm, timeout);
        Box::pin(self.call(timeout, WriteOutcome::Unknown, announce))
    }

    fn withdraw<'a>(
        &'a self,
        vm: &'a VmEntry,
        timeout: Millis,
    ) -> Pending<'a, Answer<WriteOutcome>> {
        let withdraw = self.registry.withdraw(vm, timeout);
        Box::pin(self.call(timeout, WriteOutcome::Unknown, withdraw))
    }
}

/// How the process of a VM runs.
#[derive(Default)]
struct Process {
    is_frozen: AtomicBool,
    has_ended: AtomicBool,
}

/// A VM with an executor and a thread of its own.
pub(crate) struct TestVm {
    pub(crate) daemon: EdgeDaemon,
    link: Arc<Link>,
    process: Arc<Process>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl TestVm {
    /// Starts a process.
    pub(crate) async fn start(registry: &MemoryRegistry, settings: EdgeSettings) -> Self {
        let executor = Arc::new(Executor::new());
        let (link, process) = (Arc::<Link>::default(), Arc::<Process>::default());
        let thread = {
            let (executor, process) = (Arc::clone(&executor), Arc::clone(&process));
            std::thread::spawn(move || run_process(&executor, &process))
        };
        let registry = LinkedRegistry {
            registry: registry.clone(),
            link: Arc::clone(&link),
        };
        let components = EdgeComponents {
            clock: Arc::new(MonotonicClock::new()),
            registry: Arc::new(registry),
            dialect: Arc::new(OwnDialect::default()),
            client: Client::new(Arc::clone(&executor), ClientLimits::default()),
            executor,
            incarnation: Incarnation(1),
        };
        let daemon = EdgeDaemon::start(settings, components).await;
        Self {
            daemon: daemon.expect("a daemon"),
            link,
            process,
            thread: Mutex::new(Some(thread)),
        }
    }

    /// Number of watches that waited for changes of the latest targets. Only a store reader makes such watches.
    pub(crate) fn latest_waits(&self) -> usize {
        self.link.latest_waits.load(Ordering::SeqCst)
    }

    /// Ends the process without a sign to others.
    pub(crate) fn kill(&self) {
        self.process.has_ended.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.lock().expect("no panic").take() {
            thread.join().expect("no panic");
        }
    }

    /// Stops the process without ending it. Its connections and datagrams stay.
    pub(crate) fn set_frozen(&self, is_frozen: bool) {
        self.process.is_frozen.store(is_frozen, Ordering::SeqCst);
    }

    /// Cuts the VM off from the registry: its calls get no answer.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.link.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Lets the registry refuse the calls of the VM.
    pub(crate) fn set_refused(&self, is_refused: bool) {
        self.link.is_refused.store(is_refused, Ordering::SeqCst);
    }
}

impl Drop for TestVm {
    fn drop(&mut self) {
        self.kill();
    }
}

fn run_process(executor: &Executor<'static>, process: &Process) {
    while !process.has_ended.load(Ordering::SeqCst) {
        if process.is_frozen.load(Ordering::SeqCst) {
            std::thread::sleep(SLICE);
            continue;
        }
        let slice = async {
            Timer::after(SLICE).await;
        };
        async_io::block_on(executor.run(slice));
    }
}
