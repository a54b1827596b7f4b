//! State that the tasks of the edge daemon share, and its lock order.

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
use super::settings::EdgeSettings;
use super::watch_progress::WatchProgress;

/// Resolution of the timer that ends requests at their deadlines.
const DEADLINE_TICK: Duration = Duration::from_millis(20);
/// Time after this VM reaches the store again during which targets may restore entries that expired in an
/// outage. The platform gives them about two seconds from its own recovery. A VM whose connection to the
/// store was cut notices within 1.2 s that it works again; 4 s after the recovery it must have dropped the
/// targets that left during the outage.
const REREGISTRATION_TIME: Millis = Millis(2000);

/// What this VM has read from the store, and for which families of entries its calls fail.
#[derive(Default)]
pub(crate) struct StoreStatus {
    /// Families whose last call to the store failed.
    pub(crate) unavailable: BTreeSet<Family>,
    /// Time of the first successful list of a family after a failure.
    pub(crate) recovered_at: BTreeMap<Family, Millis>,
    /// Families that were listed at least once.
    pub(crate) loaded: BTreeSet<Family>,
    /// Whether the store has accepted the entry of this VM.
    pub(crate) registered: bool,
    /// Targets whose entry disappeared during a store outage, with the time at which each is removed
    /// unless its entry is restored before.
    pub(crate) pending_removals: BTreeMap<TargetId, Millis>,
    /// Failure domains whose targets must not get requests.
    pub(crate) evacuated: HashSet<DomainId>,
}

impl StoreStatus {
    /// Time until which targets may restore entries that expired during a store outage.
    pub(crate) fn reregistration_deadline(&self) -> Millis {
        let recovered_at = self.recovered_at.get(&Family::Targets);
        recovered_at.map_or(Millis::ZERO, |time| *time + REREGISTRATION_TIME)
    }

    /// Whether a list of VMs shows that this VM must register again. A list with [`Freshness::Recent`] may
    /// lack this VM only because it is older than the registration.
    pub(crate) fn must_register_again(&self, freshness: Freshness, is_listed: bool) -> bool {
        self.registered && !is_listed && freshness == Freshness::Latest
    }

    /// Whether a family's next call must wait until the call of another family reaches the store. During
    /// an outage, only one family probes whether the store is available again.
    pub(crate) fn must_wait_for_probe(&self, family: Family) -> bool {
        let probing = if self.unavailable.contains(&Family::Targets) {
            Some(&Family::Targets)
        } else {
            self.unavailable.first()
        };
        probing.is_some_and(|probing| *probing != family)
    }

    /// Removes and returns the targets whose time to restore their entries has passed.
    pub(crate) fn take_due_removals(&mut self, now: Millis) -> Vec<TargetId> {
        let due = self
            .pending_removals
            .iter()
            .filter(|(_, removal_time)| now >= **removal_time);
        let ids: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.pending_removals.remove(id);
        }
        ids
    }
}

/// State that all tasks of an edge daemon share.
///
/// Locks are taken in the order of the field declarations and never held across an await.
pub(crate) struct Shared {
    pub(crate) settings: EdgeSettings,
    pub(crate) own_entry: VmEntry,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) registry: Arc<dyn Registry>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) client: Client,
    /// Timer of request deadlines.
    pub(crate) timer: CoarseTimer,
    pub(crate) metrics: Metrics,
    /// Socket for datagrams to and from other VMs.
    pub(crate) socket: Async<UdpSocket>,

    /// Deployment in use.
    routing_table: RwLock<Option<Arc<RoutingTable>>>,
    store_status: Mutex<StoreStatus>,
    watch_progress: Mutex<WatchProgress>,
    fleet: Mutex<Fleet>,
    targets: Mutex<TargetPool>,
    quota: Mutex<WorkspaceQuotas>,
    /// Retry budgets of all services.
    budgets: Mutex<RetryBudgets>,
    /// Fingerprints of requests that crashed targets.
    quarantine: Mutex<Quarantine>,

    pub(crate) running_requests: AtomicUsize,
    stopping: AtomicBool,
}

/// The components that an edge daemon is built from, besides its settings.
pub struct EdgeComponents {
    /// Monotonic clock of all deadlines and timestamps.
    pub clock: Arc<dyn Clock>,
    /// Registry with the deployment, targets, evacuations and VMs.
    pub registry: Arc<dyn Registry>,
    /// Names and formats of the external HTTP interfaces.
    pub dialect: Arc<dyn Dialect>,
    /// Executor that the worker threads drive.
    pub executor: Arc<Executor<'static>>,
    /// HTTP client for requests to targets.
    pub client: Client,
    /// Incarnation of this process, higher than that of every earlier process of this VM.
    pub incarnation: Incarnation,
}

impl Shared {
    pub(crate) fn new(
        settings: EdgeSettings,
        own_entry: VmEntry,
        socket: Async<UdpSocket>,
        components: EdgeComponents,
    ) -> Self {
        let location = VmLocation {
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            domain_regions: settings.domain_regions.clone(),
        };
        let budget_config = RetryBudgetConfig {
            window: settings.retry_window,
            retry_permille: settings.retry_permille,
            base_retries: settings.retry_slack,
        };
        Self {
            registry: components.registry,
            dialect: components.dialect,
            timer: CoarseTimer::start(&components.executor, DEADLINE_TICK),
            executor: components.executor,
            metrics: Metrics::new(),
            client: components.client,
            routing_table: RwLock::default(),
            store_status: Mutex::default(),
            watch_progress: Mutex::new(WatchProgress::new(components.clock.now())),
            fleet: Mutex::new(Fleet::new(own_entry.clone())),
            targets: Mutex::new(TargetPool::new(settings.vm.as_str(), location)),
            quota: Mutex::default(),
            budgets: Mutex::new(RetryBudgets::new(budget_config)),
            quarantine: Mutex::default(),
            running_requests: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            socket,
            own_entry,
            settings,
            clock: components.clock,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The deployment in use, `None` before the first one was read.
    pub(crate) fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        let routing_table = self
            .routing_table
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        routing_table.clone()
    }

    /// Replaces the deployment in use if `routing_table` has a higher version. Returns whether it did.
    pub(crate) fn set_routing_table(&self, routing_table: RoutingTable) -> bool {
        let mut current = self
            .routing_table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if current
            .as_ref()
            .is_some_and(|p| p.version() >= routing_table.version())
        {
            return false;
        }
        *current = Some(Arc::new(routing_table));
        true
    }

    pub(crate) fn store_status(&self) -> MutexGuard<'_, StoreStatus> {
        lock(&self.store_status)
    }

    pub(crate) fn watch_progress(&self) -> MutexGuard<'_, WatchProgress> {
        lock(&self.watch_progress)
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

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Whether callers may send requests to this VM.
    pub(crate) fn is_ready(&self) -> bool {
        let targets_loaded = self.store_status().loaded.contains(&Family::Targets);
        targets_loaded && self.routing_table().is_some() && !self.is_stopping()
    }

    /// Sets the gauges to their current values and renders all metrics as Prometheus text.
    #[allow(clippy::cast_precision_loss, reason = "metrics are floating point")]
    pub(crate) fn render_metrics(&self) -> String {
        let ready = self.is_ready();
        let version = self.routing_table().map_or(0, |table| table.version());
        let vms = self.fleet().vm_count();
        let metrics = &self.metrics;
        metrics
            .running_requests
            .set(self.running_requests.load(Ordering::Relaxed) as f64);
        metrics.deployment_version.set(version as f64);
        metrics.registered_vms.set(vms as f64);
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
