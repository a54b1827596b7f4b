//! The shared tables of the daemon and the order in which they are locked.

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

/// Parts into which the table of requests is divided, so that threads rarely meet at one lock.
const FLOW_PARTS: u64 = 16;

/// Precision of the deadlines of requests.
const DEADLINE_TICK: Duration = Duration::from_millis(10);

/// What is known of the other VMs. Behind one lock, because pulls change all of it.
pub(crate) struct Fleet {
    pub(crate) members: Members,
    pub(crate) puller: Puller,
    /// Addresses of all VMs on the platform's list.
    pub(crate) addresses: HashSet<IpAddr>,
}

/// What is behind the last lock.
pub(crate) struct Tail {
    pub(crate) quarantine: Quarantine,
    pub(crate) retries: RetryBudget,
    pub(crate) rng: fastrand::Rng,
}

/// Whether the turn of a request in the fair queue came, and who waits for it.
#[derive(Default)]
struct Turn {
    came: bool,
    waker: Option<Waker>,
}

type FlowPart = Mutex<HashMap<FlowId, Turn>>;

/// Everything that the tasks of a daemon share.
///
/// The tables are locked in the order of their declaration and never held across an await.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) client: Client,
    /// Deadlines of requests.
    pub(crate) timer: CoarseTimer,
    pub(crate) metrics: Metrics,
    pub(crate) steering: Steering,

    config: Mutex<Config>,
    fleet: Mutex<Fleet>,
    ledger: Mutex<RateLimiter>,
    queue: Mutex<FairQueue>,
    targets: Mutex<TargetTable>,
    tail: Mutex<Tail>,

    /// The table of client blocks, with the generation of the records from which it was built.
    pub(crate) blocks: RwLock<(u64, Arc<BlockTable>)>,
    /// Highest generation for which a table was or is being built.
    blocks_begun: AtomicU64,
    /// Revision of the limits that the ledger has.
    limits_revision: AtomicU64,
    flows: Vec<FlowPart>,
    last_flow: AtomicU64,
    running: AtomicUsize,
    stopping: AtomicBool,
    /// Whether the daemon has held the newest configuration in reach.
    configured: AtomicBool,
    panics: Arc<AtomicU64>,
    /// The server of callers, once it runs.
    pub(crate) connections: OnceLock<Server>,
    /// Asks for a tick of the ledger before it is due.
    pub(crate) nudge: (Sender<()>, Receiver<()>),
}

/// What a daemon is built from besides its settings.
#[derive(Clone)]
pub struct Parts {
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// The platform's object store.
    pub store: Arc<dyn Store>,
    /// Executor that the worker threads run.
    pub executor: Arc<Executor<'static>>,
    /// Connections to targets and other regions.
    pub client: Client,
    /// Number of this process, higher than that of every earlier process of this VM.
    pub incarnation: Incarnation,
    /// Panics that the worker threads caught.
    pub panics: Arc<AtomicU64>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, parts: Parts) -> Self {
        let now = parts.clock.now();
        let ledger = RateLimiterSettings::new(
            settings.vm.clone(),
            parts.incarnation,
            settings.domain.clone(),
        )
        .with_domain_size(settings.domain_vms);
        let fleet = Fleet {
            members: Members::new(settings.vm.clone(), settings.domain.clone()),
            puller: Puller::new(now, parts.incarnation, PullSettings::default()),
            addresses: HashSet::new(),
        };
        let tail = Tail {
            quarantine: Quarantine::default(),
            retries: RetryBudget::default(),
            rng: fastrand::Rng::new(),
        };
        Self {
            incarnation: parts.incarnation,
            clock: parts.clock,
            store: parts.store,
            timer: CoarseTimer::start(&parts.executor, DEADLINE_TICK),
            executor: parts.executor,
            client: parts.client,
            metrics: Metrics::new(),
            steering: Steering::new(settings.domain.clone()),
            config: Mutex::new(Config::new()),
            fleet: Mutex::new(fleet),
            ledger: Mutex::new(RateLimiter::new(ledger, now)),
            queue: Mutex::new(FairQueue::default()),
            targets: Mutex::new(TargetTable::new(settings.domain.clone())),
            tail: Mutex::new(tail),
            blocks: RwLock::default(),
            blocks_begun: AtomicU64::new(0),
            limits_revision: AtomicU64::new(0),
            panics: parts.panics,
            connections: OnceLock::new(),
            flows: (0..FLOW_PARTS).map(|_| Mutex::default()).collect(),
            last_flow: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            configured: AtomicBool::new(false),
            nudge: async_channel::bounded(1),
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

    pub(crate) fn ledger(&self) -> MutexGuard<'_, RateLimiter> {
        lock(&self.ledger)
    }

    pub(crate) fn queue(&self) -> MutexGuard<'_, FairQueue> {
        lock(&self.queue)
    }

    pub(crate) fn targets(&self) -> MutexGuard<'_, TargetTable> {
        lock(&self.targets)
    }

    pub(crate) fn tail(&self) -> MutexGuard<'_, Tail> {
        lock(&self.tail)
    }

    /// Delivers an event to a request with all tables locked.
    pub(crate) fn step(&self, flow: &mut Flow, event: FlowEvent) -> Vec<FlowAction> {
        let config = self.config();
        let fleet = self.fleet();
        let mut ledger = self.ledger();
        let mut queue = self.queue();
        let mut targets = self.targets();
        let mut tail = self.tail();
        let tail = &mut *tail;
        // Read under the locks, so that no table sees time go back.
        let now = self.now();
        let mut tables = DaemonState {
            config: &config,
            members: &fleet.members,
            steering: &self.steering,
            limits: &mut *ledger,
            queue: &mut queue,
            targets: &mut targets,
            quarantine: &mut tail.quarantine,
            retry_budget: &mut tail.retries,
            rng: &mut tail.rng,
        };
        let actions = flow.step(now, event, &mut tables);
        if ledger.needs_tick() {
            self.nudge_ledger();
        }
        actions
    }

    /// Asks for a tick of the ledger now.
    pub(crate) fn nudge_ledger(&self) {
        // Full means that a tick is due already.
        let _ = self.nudge.0.try_send(());
    }

    /// Numbers a request.
    pub(crate) fn enter(&self) -> FlowId {
        let id = FlowId(self.last_flow.fetch_add(1, Ordering::Relaxed) + 1);
        self.running.fetch_add(1, Ordering::Relaxed);
        lock(self.part(id)).insert(id, Turn::default());
        id
    }

    /// Forgets a request.
    pub(crate) fn leave(&self, id: FlowId) {
        let turn = lock(self.part(id)).remove(&id);
        drop(turn);
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Tells a request that its turn in the fair queue came.
    pub(crate) fn wake(&self, id: FlowId) {
        let waker = lock(self.part(id)).get_mut(&id).and_then(|turn| {
            turn.came = true;
            turn.waker.take()
        });
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Takes the turn of a request if it came; else the waker is called when it comes.
    pub(crate) fn take_wake(&self, id: FlowId, waker: &Waker) -> bool {
        let mut part = lock(self.part(id));
        let Some(turn) = part.get_mut(&id) else {
            return false;
        };
        if std::mem::take(&mut turn.came) {
            return true;
        }
        let former = turn.waker.replace(waker.clone());
        // The last waker of a task drops the task, which leaves this table.
        drop(part);
        drop(former);
        false
    }

    fn part(&self, id: FlowId) -> &FlowPart {
        let at = usize::try_from(id.0 % FLOW_PARTS).unwrap_or(0);
        &self.flows[at]
    }

    /// Notes the revision that the ledger is given. `false`: it had that one or a higher one.
    pub(crate) fn take_limits_revision(&self, revision: Revision) -> bool {
        self.limits_revision
            .fetch_max(revision.0, Ordering::Relaxed)
            < revision.0
    }

    /// Notes that a table of client blocks is being built. `false`: one at least as new was begun.
    pub(crate) fn take_blocks_generation(&self, generation: u64) -> bool {
        self.blocks_begun.fetch_max(generation, Ordering::Relaxed) < generation
    }

    /// Notes that the daemon holds the newest configuration in reach.
    pub(crate) fn note_configured(&self) {
        self.configured.store(true, Ordering::Relaxed);
    }

    /// Marks the daemon as stopping: it is no longer ready, peers learn of it by pulls, and look-ups
    /// no longer name this VM.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        let mut fleet = self.fleet();
        let mut tail = self.tail();
        let fleet = &mut *fleet;
        let now = self.now();
        fleet.puller.announce_stop(&fleet.members, &mut tail.rng);
        fleet
            .members
            .record_contact(now, &self.settings.vm, self.incarnation, true);
    }
}

impl Shared {
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the daemon takes work: it has held the newest configuration in reach and is not
    /// stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_configured()
    }

    /// Whether the daemon has held the newest configuration in reach. Before that it would refuse
    /// valid keys as unknown.
    pub(crate) fn is_configured(&self) -> bool {
        self.configured.load(Ordering::Relaxed)
    }

    /// Whether a VM on the platform's list has this address.
    pub(crate) fn is_entry_vm(&self, ip: IpAddr) -> bool {
        self.fleet().addresses.contains(&ip)
    }

    /// The table of client blocks.
    pub(crate) fn block_table(&self) -> Arc<BlockTable> {
        let held = self.blocks.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&held.1)
    }

    /// The address of a VM for the protocol between daemons, if it is on the list.
    pub(crate) fn peer_address(&self, id: &VmId) -> Option<SocketAddr> {
        self.fleet().members.vm(id).map(|vm| vm.peer)
    }

    /// Brings the gauges up to date.
    pub(crate) fn refresh_gauges(&self) {
        let metrics = &self.metrics;
        let now = self.now();
        let (revision, age) = {
            let config = self.config();
            (config.revision(), config.age(now))
        };
        metrics.config_revision.set(number(revision.0));
        metrics.config_age.set(number(age.0) / 1000.0);
        metrics
            .shards_owned
            .set(number(self.ledger().owned_shards().len() as u64));
        metrics.queue_length.set(number(self.queue().len() as u64));
        metrics.requests_running.set(number(self.running() as u64));
        let connections = self.connections.get().map_or(0, Server::connections);
        metrics.connections.set(number(connections as u64));
        metrics
            .idle_connections
            .set(number(self.client.idle() as u64));
        metrics.ready.set(f64::from(u8::from(self.is_ready())));
        metrics.panics.absolute(self.panics.load(Ordering::Relaxed));
    }

    /// Requests that are not finished.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }
}

/// Locks a table. A panic in another thread leaves the tables usable, because a core call either
/// completes or breaks an invariant that its checks report.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A number as a gauge takes it. What exceeds 52 bits loses precision, which no gauge shows.
#[allow(
    clippy::cast_precision_loss,
    reason = "gauges are floating-point numbers"
)]
fn number(value: u64) -> f64 {
    value as f64
}
