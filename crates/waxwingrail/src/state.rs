//! State that all tasks and requests of the daemon share, and the order in which its locks are taken.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::task::Waker;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use waxwing_core::{
    BlockTable, Config, DaemonState, FairQueue, Flow, FlowAction, FlowEvent, FlowId, Members,
    PullSettings, Puller, Quarantine, RateLimiter, RateLimiterSettings, RetryBudget, Steering,
    TargetTable,
};
use waxwing_http::{Client, CoarseTimer, Server};
use waxwing_store::Store;
use waxwing_types::{Clock, Incarnation, Millis, Revision, VmId};

use crate::metric::Metrics;
use crate::settings::Settings;

/// Number of maps that hold wake-up states. Each has its own lock, which reduces lock contention.
const WAKEUP_STRIPES: u64 = 16;

/// Precision of request deadlines.
const DEADLINE_TICK: Duration = Duration::from_millis(10);

/// Known VMs and the schedule of pulls from them. One lock guards both, because a pull changes both.
pub(crate) struct Fleet {
    pub(crate) members: Members,
    pub(crate) puller: Puller,
    /// IP addresses of all VMs on the platform's VM list, for clients, peers and other regions.
    pub(crate) addresses: HashSet<IpAddr>,
}

/// Retry state and the random number generator, under one lock, which is the last in the lock order.
pub(crate) struct RetryState {
    pub(crate) quarantine: Quarantine,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) rng: fastrand::Rng,
}

/// Wake-up state of a request that may wait in the fair queue.
#[derive(Default)]
struct Wakeup {
    /// Whether the request has been dequeued since the last poll.
    dequeued: bool,
    /// Waker of the task that waits for the request to be dequeued.
    waker: Option<Waker>,
}

type WakeupStripe = Mutex<HashMap<FlowId, Wakeup>>;

/// State shared by all tasks and requests of a daemon.
///
/// The mutexes are locked in the order of the fields, from `config` to `retry_state`, and no guard is
/// held across an await point.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) client: Client,
    /// Timer for request deadlines.
    pub(crate) timer: CoarseTimer,
    pub(crate) metrics: Metrics,
    pub(crate) steering: Steering,

    config: Mutex<Config>,
    fleet: Mutex<Fleet>,
    rate_limiter: Mutex<RateLimiter>,
    queue: Mutex<FairQueue>,
    targets: Mutex<TargetTable>,
    retry_state: Mutex<RetryState>,

    /// Table of client address blocks, with the generation of the records from which it was built.
    pub(crate) blocks: RwLock<(u64, Arc<BlockTable>)>,
    /// Highest generation for which a build of the block table has been started.
    latest_block_build: AtomicU64,
    /// Configuration revision of the limits that the rate limiter was last given.
    limits_revision: AtomicU64,
    /// Wake-up states, one per unfinished request; `wakeup_stripe` selects the map for an id.
    wakeups: Vec<WakeupStripe>,
    last_flow_id: AtomicU64,
    running_requests: AtomicUsize,
    stopping: AtomicBool,
    /// Whether the daemon has once had the newest configuration that it could reach.
    configured: AtomicBool,
    panic_count: Arc<AtomicU64>,
    /// HTTP server for callers; empty until it has started.
    pub(crate) caller_server: OnceLock<Server>,
    /// Channel of capacity 1 that requests a rate limiter tick before the next regular one.
    pub(crate) limiter_tick_requests: (Sender<()>, Receiver<()>),
}

/// The components that a daemon is built from, besides its settings.
#[derive(Clone)]
pub struct DaemonComponents {
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// The platform's object store.
    pub store: Arc<dyn Store>,
    /// Executor whose tasks the worker threads run.
    pub executor: Arc<Executor<'static>>,
    /// HTTP client for targets and for other regions.
    pub client: Client,
    /// Number of this process. Each later process on the VM has a higher number.
    pub incarnation: Incarnation,
    /// Number of panics that the worker threads have caught.
    pub panic_count: Arc<AtomicU64>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, components: DaemonComponents) -> Self {
        let now = components.clock.now();
        let limiter_settings = RateLimiterSettings::new(
            settings.vm.clone(),
            components.incarnation,
            settings.domain.clone(),
        )
        .with_domain_size(settings.domain_vms);
        let fleet = Fleet {
            members: Members::new(settings.vm.clone(), settings.domain.clone()),
            puller: Puller::new(now, components.incarnation, PullSettings::default()),
            addresses: HashSet::new(),
        };
        let retry_state = RetryState {
            quarantine: Quarantine::default(),
            retry_budget: RetryBudget::default(),
            rng: fastrand::Rng::new(),
        };
        Self {
            incarnation: components.incarnation,
            clock: components.clock,
            store: components.store,
            timer: CoarseTimer::start(&components.executor, DEADLINE_TICK),
            executor: components.executor,
            client: components.client,
            metrics: Metrics::new(),
            steering: Steering::new(settings.domain.clone()),
            config: Mutex::new(Config::new()),
            fleet: Mutex::new(fleet),
            rate_limiter: Mutex::new(RateLimiter::new(limiter_settings, now)),
            queue: Mutex::new(FairQueue::default()),
            targets: Mutex::new(TargetTable::new(settings.domain.clone())),
            retry_state: Mutex::new(retry_state),
            blocks: RwLock::default(),
            latest_block_build: AtomicU64::new(0),
            limits_revision: AtomicU64::new(0),
            panic_count: components.panic_count,
            caller_server: OnceLock::new(),
            wakeups: (0..WAKEUP_STRIPES).map(|_| Mutex::default()).collect(),
            last_flow_id: AtomicU64::new(0),
            running_requests: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            configured: AtomicBool::new(false),
            limiter_tick_requests: async_channel::bounded(1),
            settings,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn config(&self) -> MutexGuard<'_, Config> {
        lock(&self.config)
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub(crate) fn rate_limiter(&self) -> MutexGuard<'_, RateLimiter> {
        lock(&self.rate_limiter)
    }

    pub(crate) fn queue(&self) -> MutexGuard<'_, FairQueue> {
        lock(&self.queue)
    }

    pub(crate) fn targets(&self) -> MutexGuard<'_, TargetTable> {
        lock(&self.targets)
    }

    pub(crate) fn retry_state(&self) -> MutexGuard<'_, RetryState> {
        lock(&self.retry_state)
    }

    /// Passes an event to the state machine of a request and returns the actions to perform.
    pub(crate) fn step_flow(&self, flow: &mut Flow, event: FlowEvent) -> Vec<FlowAction> {
        let config = self.config();
        let fleet = self.fleet();
        let mut rate_limiter = self.rate_limiter();
        let mut queue = self.queue();
        let mut targets = self.targets();
        let mut retry_state = self.retry_state();
        let retry_state = &mut *retry_state;
        // The time is read while the locks are held, so that no table sees it go backwards.
        let now = self.now();
        let mut tables = DaemonState {
            config: &config,
            members: &fleet.members,
            steering: &self.steering,
            limits: &mut *rate_limiter,
            queue: &mut queue,
            targets: &mut targets,
            quarantine: &mut retry_state.quarantine,
            retry_budget: &mut retry_state.retry_budget,
            rng: &mut retry_state.rng,
        };
        let actions = flow.step(now, event, &mut tables);
        if rate_limiter.needs_tick() {
            self.request_limiter_tick();
        }
        actions
    }

    /// Requests a rate limiter tick without waiting for the next regular one.
    pub(crate) fn request_limiter_tick(&self) {
        // A full channel means that a tick has already been requested.
        let _ = self.limiter_tick_requests.0.try_send(());
    }

    /// Registers a new request and returns its id.
    pub(crate) fn register_request(&self) -> FlowId {
        let id = FlowId(self.last_flow_id.fetch_add(1, Ordering::Relaxed) + 1);
        self.running_requests.fetch_add(1, Ordering::Relaxed);
        lock(self.wakeup_stripe(id)).insert(id, Wakeup::default());
        id
    }

    /// Removes a request that has finished.
    pub(crate) fn unregister_request(&self, id: FlowId) {
        let wakeup = lock(self.wakeup_stripe(id)).remove(&id);
        drop(wakeup);
        self.running_requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Wakes a request that has been removed from the fair queue.
    pub(crate) fn wake_request(&self, id: FlowId) {
        let waker = lock(self.wakeup_stripe(id))
            .get_mut(&id)
            .and_then(|wakeup| {
                wakeup.dequeued = true;
                wakeup.waker.take()
            });
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Returns whether the request has been woken since the last poll. If not, stores the waker, which
    /// `wake_request` then calls.
    pub(crate) fn poll_wakeup(&self, id: FlowId, waker: &Waker) -> bool {
        let mut stripe = lock(self.wakeup_stripe(id));
        let Some(wakeup) = stripe.get_mut(&id) else {
            return false;
        };
        if std::mem::take(&mut wakeup.dequeued) {
            return true;
        }
        let replaced = wakeup.waker.replace(waker.clone());
        // Unlock first: dropping the last waker of a task drops the task, and that locks this map.
        drop(stripe);
        drop(replaced);
        false
    }

    /// Selects the map that holds the wake-up state of a request.
    fn wakeup_stripe(&self, id: FlowId) -> &WakeupStripe {
        let index = usize::try_from(id.0 % WAKEUP_STRIPES).unwrap_or(0);
        &self.wakeups[index]
    }

    /// Records the revision whose limits the rate limiter is about to get. Returns `false` if the
    /// limiter already has this revision or a later one.
    pub(crate) fn advance_limits_revision(&self, revision: Revision) -> bool {
        self.limits_revision
            .fetch_max(revision.0, Ordering::Relaxed)
            < revision.0
    }

    /// Records the start of a build of the block table. Returns `false` if a build of this generation or
    /// a later one has already started.
    pub(crate) fn start_block_build(&self, generation: u64) -> bool {
        self.latest_block_build
            .fetch_max(generation, Ordering::Relaxed)
            < generation
    }

    /// Records that the daemon has the newest configuration that it can reach.
    pub(crate) fn set_configured(&self) {
        self.configured.store(true, Ordering::Relaxed);
    }

    /// Marks the daemon as stopping: it is no longer ready, its pulls announce the stop to peers, and
    /// look-ups of entry VMs no longer return this VM.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        let mut fleet = self.fleet();
        let mut retry_state = self.retry_state();
        let fleet = &mut *fleet;
        let now = self.now();
        fleet
            .puller
            .announce_stop(&fleet.members, &mut retry_state.rng);
        fleet
            .members
            .record_contact(now, &self.settings.vm, self.incarnation, true);
    }
}

impl Shared {
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the daemon accepts requests: it is configured and not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_configured()
    }

    /// Whether the daemon has once had the newest configuration that it could reach. Until then it
    /// would refuse valid keys as unknown.
    pub(crate) fn is_configured(&self) -> bool {
        self.configured.load(Ordering::Relaxed)
    }

    /// Whether a VM on the platform's VM list has this IP address.
    pub(crate) fn is_entry_vm(&self, ip: IpAddr) -> bool {
        self.fleet().addresses.contains(&ip)
    }

    /// The current table of client address blocks.
    pub(crate) fn block_table(&self) -> Arc<BlockTable> {
        let blocks = self.blocks.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&blocks.1)
    }

    /// The peer protocol address of a VM, if the VM is on the platform's VM list.
    pub(crate) fn peer_address(&self, id: &VmId) -> Option<SocketAddr> {
        self.fleet().members.vm(id).map(|vm| vm.peer)
    }

    /// Sets all gauges to the current state.
    pub(crate) fn update_gauges(&self) {
        let metrics = &self.metrics;
        let now = self.now();
        let (revision, age) = {
            let config = self.config();
            (config.revision(), config.age(now))
        };
        metrics.config_revision.set(gauge_value(revision.0));
        metrics.config_age.set(gauge_value(age.0) / 1000.0);
        metrics
            .shards_owned
            .set(gauge_value(self.rate_limiter().owned_shards().len() as u64));
        metrics
            .queue_length
            .set(gauge_value(self.queue().len() as u64));
        metrics
            .requests_running
            .set(gauge_value(self.running_requests() as u64));
        let connections = self.caller_server.get().map_or(0, Server::connections);
        metrics.connections.set(gauge_value(connections as u64));
        metrics
            .idle_connections
            .set(gauge_value(self.client.idle() as u64));
        metrics.ready.set(f64::from(u8::from(self.is_ready())));
        metrics
            .panics
            .absolute(self.panic_count.load(Ordering::Relaxed));
    }

    /// Number of requests that have not finished.
    pub(crate) fn running_requests(&self) -> usize {
        self.running_requests.load(Ordering::Relaxed)
    }
}

/// Locks a mutex and ignores poisoning. After a panic in another thread the state is still usable: a
/// call into `waxwing_core` either completes or breaks an invariant that its own checks report.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts an integer to a gauge value. The loss of precision above 52 bits does not matter there.
#[allow(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
fn gauge_value(value: u64) -> f64 {
    value as f64
}
