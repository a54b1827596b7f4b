//! The shared tables of the edge daemon and the order in which they are locked.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use waxwing_edge::{
    Fleet, Quarantine, RetryBudgetConfig, RetryBudgets, RoutingTable, TargetPool, VmLocation,
    WorkspaceQuotas,
};
use waxwing_http::{Client, CoarseTimer, Dialect};
use waxwing_records::VmEntry;
use waxwing_store::{Family, Freshness, Registry};
use waxwing_types::{Clock, DomainId, Incarnation, Millis, TargetId};

use super::metric::Metrics;
use super::news::News;
use super::settings::EdgeSettings;

/// Precision of the deadlines of requests.
const DEADLINE_TICK: Duration = Duration::from_millis(20);
/// Time after this VM reached the store again within which entries that expired meanwhile come back. The
/// platform states about two seconds from its return. A VM that was cut off notices within 1.2 s that it
/// no longer is, and must know 4 s after what left meanwhile.
const ENTRIES_BACK: Millis = Millis(2000);

/// What is known of the store's answers.
#[derive(Default)]
pub(crate) struct StoreView {
    /// Families that cannot be read.
    pub(crate) failing: BTreeSet<Family>,
    /// When a family could be read again after a failure.
    pub(crate) back: BTreeMap<Family, Millis>,
    /// Families that were read at least once.
    pub(crate) read: BTreeSet<Family>,
    /// Whether the store has taken the entry of this VM.
    pub(crate) registered: bool,
    /// Targets whose entry went while the store was away, with the time at which they are gone.
    pub(crate) doubtful: BTreeMap<TargetId, Millis>,
    /// Failure domains that are evacuated.
    pub(crate) evacuated: HashSet<DomainId>,
}

impl StoreView {
    /// Time until which a target's entry that expired during an outage may come back.
    pub(crate) fn entries_back(&self) -> Millis {
        let back = self.back.get(&Family::Targets);
        back.map_or(Millis::ZERO, |back| *back + ENTRIES_BACK)
    }

    /// Whether this VM has to register again after a list of VMs, which may name it. A list of an older state may
    /// be older than the registration.
    pub(crate) fn must_register(&self, freshness: Freshness, named: bool) -> bool {
        self.registered && !named && freshness == Freshness::Latest
    }

    /// Whether a family's next call has to wait until another one has reached the store: one call at a
    /// time finds out whether it is back.
    pub(crate) fn waits(&self, family: Family) -> bool {
        let prober = if self.failing.contains(&Family::Targets) {
            Some(&Family::Targets)
        } else {
            self.failing.first()
        };
        prober.is_some_and(|prober| *prober != family)
    }

    /// Takes the targets whose time to come back is over.
    pub(crate) fn take_gone(&mut self, now: Millis) -> Vec<TargetId> {
        let over = self.doubtful.iter().filter(|(_, until)| now >= **until);
        let gone: Vec<_> = over.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.doubtful.remove(id);
        }
        gone
    }
}

/// Everything that the tasks of an edge daemon share.
///
/// The tables are locked in the order of their declaration and never held across an await.
pub(crate) struct Shared {
    pub(crate) settings: EdgeSettings,
    pub(crate) own: VmEntry,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) registry: Arc<dyn Registry>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) client: Client,
    pub(crate) timer: CoarseTimer,
    pub(crate) metrics: Metrics,
    /// For datagrams of other VMs.
    pub(crate) socket: Async<UdpSocket>,

    plan: RwLock<Option<Arc<RoutingTable>>>,
    store: Mutex<StoreView>,
    news: Mutex<News>,
    fleet: Mutex<Fleet>,
    targets: Mutex<TargetPool>,
    quota: Mutex<WorkspaceQuotas>,
    budgets: Mutex<RetryBudgets>,
    poison: Mutex<Quarantine>,

    pub(crate) running: AtomicUsize,
    stopping: AtomicBool,
}

/// What an edge daemon is built from besides its settings.
pub struct EdgeParts {
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// Entries of the deployment.
    pub registry: Arc<dyn Registry>,
    /// How the outer interfaces are spelled.
    pub dialect: Arc<dyn Dialect>,
    /// Executor that the worker threads run.
    pub executor: Arc<Executor<'static>>,
    /// Connections to targets.
    pub client: Client,
    /// Number of this process, higher than that of every earlier process of this VM.
    pub incarnation: Incarnation,
}

impl Shared {
    pub(crate) fn new(
        settings: EdgeSettings,
        own: VmEntry,
        socket: Async<UdpSocket>,
        parts: EdgeParts,
    ) -> Self {
        let place = VmLocation {
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            domain_regions: settings.domains.clone(),
        };
        let rule = RetryBudgetConfig {
            window: settings.retry_window,
            retry_permille: settings.retry_permille,
            base_retries: settings.retry_slack,
        };
        Self {
            registry: parts.registry,
            dialect: parts.dialect,
            timer: CoarseTimer::start(&parts.executor, DEADLINE_TICK),
            executor: parts.executor,
            metrics: Metrics::new(),
            client: parts.client,
            plan: RwLock::default(),
            store: Mutex::default(),
            news: Mutex::new(News::new(parts.clock.now())),
            fleet: Mutex::new(Fleet::new(own.clone())),
            targets: Mutex::new(TargetPool::new(settings.vm.as_str(), place)),
            quota: Mutex::default(),
            budgets: Mutex::new(RetryBudgets::new(rule)),
            poison: Mutex::default(),
            running: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            socket,
            own,
            settings,
            clock: parts.clock,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The deployment in force.
    pub(crate) fn plan(&self) -> Option<Arc<RoutingTable>> {
        let plan = self.plan.read().unwrap_or_else(PoisonError::into_inner);
        plan.clone()
    }

    /// Puts a deployment in force, unless a newer one is.
    pub(crate) fn set_plan(&self, plan: RoutingTable) -> bool {
        let mut present = self.plan.write().unwrap_or_else(PoisonError::into_inner);
        if present
            .as_ref()
            .is_some_and(|p| p.version() >= plan.version())
        {
            return false;
        }
        *present = Some(Arc::new(plan));
        true
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, StoreView> {
        lock(&self.store)
    }

    pub(crate) fn news(&self) -> MutexGuard<'_, News> {
        lock(&self.news)
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub(crate) fn targets(&self) -> MutexGuard<'_, TargetPool> {
        lock(&self.targets)
    }

    pub(crate) fn quota(&self) -> MutexGuard<'_, WorkspaceQuotas> {
        lock(&self.quota)
    }

    pub(crate) fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.budgets)
    }

    pub(crate) fn poison(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.poison)
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let listed = self.store().read.contains(&Family::Targets);
        listed && self.plan().is_some() && !self.is_stopping()
    }

    /// The metrics as text, with the present values of the gauges.
    #[allow(clippy::cast_precision_loss, reason = "metrics are floating point")]
    pub(crate) fn render_metrics(&self) -> String {
        let ready = self.is_ready();
        let version = self.plan().map_or(0, |plan| plan.version());
        let vms = self.fleet().vm_count();
        let metrics = &self.metrics;
        metrics
            .running
            .set(self.running.load(Ordering::Relaxed) as f64);
        metrics.version.set(version as f64);
        metrics.vms.set(vms as f64);
        metrics.ready.set(f64::from(u8::from(ready)));
        metrics.render()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
