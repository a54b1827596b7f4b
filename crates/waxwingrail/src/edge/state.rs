//! State that the tasks of the edge daemon share, and the order in which its locks are taken.
//!
//! The store is the platform's object store. The registry is the typed interface to the store: it holds four
//! families of entries, namely the deployment, targets, evacuated failure domains and VMs.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Async;
use waxwing_edge::{
    DatagramFilter, Fleet, NoticedTarget, Quarantine, RetryBudgetConfig, RetryBudgets,
    RoutingTable, TargetPool, Topology, WorkspaceQuotas,
};
use waxwing_http::{Client, CoarseSleep, CoarseTimer, Dialect};
use waxwing_records::VmEntry;
use waxwing_store::{Family, Freshness, Registry};
use waxwing_types::{Clock, DomainId, Incarnation, Millis, TargetId};

use super::list::StoreFailure;
use super::memory::{BodyBudget, MemoryLimits};
use super::metric::Metrics;
use super::patch::DeploymentLog;
use super::restore::RestoreGrace;
use super::settings::EdgeSettings;
use super::state_age::AgeLimits;
use super::stop::{StopState, StopTimes};
use super::watch_progress::WatchProgress;

/// Resolution of the timer that ends requests at their deadlines.
const DEADLINE_RESOLUTION: Duration = Duration::from_millis(20);
/// Time for which targets are kept after a store outage although their entries expired in the outage, from the first list after
/// the outage. The platform gives targets about two seconds from the recovery of the store to restore their entries.
const REREGISTRATION_TIME: Millis = Millis(2000);

/// What this VM has read from the store, and which of its calls to the store fail.
#[derive(Default)]
pub(crate) struct StoreStatus {
    /// Families whose last call to the store failed.
    pub(crate) unavailable: BTreeSet<Family>,
    /// Time at which a family was first listed after a failed call.
    pub(crate) recovered_at: BTreeMap<Family, Millis>,
    /// Time before which the last outage that a family met has not ended.
    pub(crate) outage_met_at: BTreeMap<Family, Millis>,
    /// Families that were listed at least once.
    pub(crate) loaded: BTreeSet<Family>,
    /// Whether the store has accepted the entry of this VM.
    pub(crate) is_registered: bool,
    /// Targets whose entries disappeared during a store outage, each with the time of its removal. A target
    /// is kept if its entry is restored before that time.
    pub(crate) pending_removals: BTreeMap<TargetId, Millis>,
    /// Failure domains whose targets must not get requests.
    pub(crate) evacuated: HashSet<DomainId>,
    /// What this VM knows of the time before a restore of the store.
    pub(crate) restore_grace: RestoreGrace,
}

impl StoreStatus {
    /// Time until which targets may restore entries that expired during a store outage, at most `max_delay` after the end of the
    /// outage. A VM that notices the end late keeps targets for a shorter time, because some of them left during the outage.
    pub(crate) fn reregistration_deadline(&self, max_delay: Millis) -> Millis {
        let recovered_at = self.recovered_at.get(&Family::Targets);
        let deadline = recovered_at.map_or(Millis::ZERO, |time| *time + REREGISTRATION_TIME);
        let met_at = self.outage_met_at.get(&Family::Targets);
        met_at.map_or(deadline, |time| deadline.min(*time + max_delay))
    }

    /// Whether a list of VMs shows that this VM must register again. A list with [`Freshness::Recent`] may be
    /// some seconds old, and may lack this VM only because it is older than the registration.
    pub(crate) fn must_register_again(&self, freshness: Freshness, is_listed: bool) -> bool {
        self.is_registered && !is_listed && freshness == Freshness::Latest
    }

    /// Whether the next call for a family must wait until a call for another family succeeds. During an
    /// outage, calls are made for one family only, to probe whether the store is available again.
    pub(crate) fn must_wait_for_probe(&self, family: Family) -> bool {
        let probing_family = if self.unavailable.contains(&Family::Targets) {
            Some(&Family::Targets)
        } else {
            self.unavailable.first()
        };
        probing_family.is_some_and(|probing_family| *probing_family != family)
    }

    /// Takes the targets whose time of removal has come out of `pending_removals`, and returns them.
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
    /// Registry entry of this VM.
    pub(crate) own_entry: VmEntry,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) registry: Arc<dyn Registry>,
    /// Paths, header names and formats of the HTTP interfaces, which differ between platforms.
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) client: Client,
    /// Timer for request deadlines.
    pub(crate) timer: CoarseTimer,
    pub(crate) metrics: Metrics,
    /// Socket for datagrams to and from other VMs.
    pub(crate) socket: Async<UdpSocket>,
    /// Number of the last datagram that this process has sent.
    pub(crate) datagram_number: AtomicU64,

    /// Held while a deployment is put in force, so that none replaces a later one.
    deployment_log: Mutex<DeploymentLog>,
    /// Routing table of the deployment in use, `None` before the first deployment was read.
    routing_table: RwLock<Option<Arc<RoutingTable>>>,
    store_status: Mutex<StoreStatus>,
    watch_progress: Mutex<WatchProgress>,
    fleet: Mutex<Fleet>,
    targets: Mutex<TargetPool>,
    /// Quota tokens of all workspaces at this VM.
    quota: Mutex<WorkspaceQuotas>,
    /// Retry budgets of all services.
    budgets: Mutex<RetryBudgets>,
    /// Requests that crashed targets.
    quarantine: Mutex<Quarantine>,
    datagram_filter: Mutex<DatagramFilter>,

    /// Whether alerts about targets are about to be sent.
    pub(crate) alerts_due: AtomicBool,
    pub(crate) running_requests: AtomicUsize,
    pub(crate) memory_limits: MemoryLimits,
    /// Room for bodies that are buffered.
    pub(crate) body_budget: Arc<BodyBudget>,
    started_at: Millis,
    pub(crate) stop: StopState,
}

/// The components that an edge daemon is built from, besides its settings.
pub struct EdgeComponents {
    /// Monotonic clock of all deadlines and timestamps.
    pub clock: Arc<dyn Clock>,
    /// Registry with the deployment, targets, evacuations and VMs.
    pub registry: Arc<dyn Registry>,
    /// Paths, header names and formats of the HTTP interfaces, which differ between platforms.
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
        let topology = Topology {
            own_domain: settings.domain.clone(),
            own_region: settings.region.clone(),
            domain_regions: settings.domain_regions.clone(),
        };
        let budget_config = RetryBudgetConfig {
            window: settings.retry_window,
            retry_permille: settings.retry_permille,
            base_retries: settings.base_retries,
        };
        let targets = TargetPool::new(settings.vm.as_str(), topology)
            .with_cold_start_terms(settings.cold_start);
        let memory_limits = MemoryLimits::new(settings.memory);
        let started_at = components.clock.now();
        Self {
            memory_limits,
            body_budget: BodyBudget::new(memory_limits.large_bodies),
            registry: components.registry,
            dialect: components.dialect,
            timer: CoarseTimer::start(&components.executor, DEADLINE_RESOLUTION),
            executor: components.executor,
            metrics: Metrics::new(),
            client: components.client,
            deployment_log: Mutex::default(),
            routing_table: RwLock::default(),
            store_status: Mutex::default(),
            watch_progress: Mutex::new(WatchProgress::new(started_at, AgeLimits::new(&settings))),
            fleet: Mutex::new(Fleet::new(own_entry.clone()).with_start(started_at)),
            targets: Mutex::new(targets),
            quota: Mutex::default(),
            budgets: Mutex::new(RetryBudgets::new(budget_config)),
            quarantine: Mutex::default(),
            datagram_filter: Mutex::default(),
            datagram_number: AtomicU64::new(0),
            alerts_due: AtomicBool::new(false),
            running_requests: AtomicUsize::new(0),
            started_at,
            stop: StopState::new(),
            socket,
            own_entry,
            settings,
            clock: components.clock,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A timer that ends at the deadline of a request.
    pub(crate) fn deadline_timer(&self, deadline: Millis) -> CoarseSleep {
        let left = deadline.since(self.now());
        self.timer.sleep_until(Instant::now() + left.duration())
    }

    /// Time since the start of this process.
    pub(crate) fn age(&self) -> Millis {
        self.now().since(self.started_at)
    }

    pub(crate) fn deployment_log(&self) -> MutexGuard<'_, DeploymentLog> {
        lock(&self.deployment_log)
    }

    /// The routing table of the deployment in use, `None` before the first deployment was read.
    pub(crate) fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        let routing_table = self
            .routing_table
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        routing_table.clone()
    }

    /// Replaces the routing table in use.
    pub(crate) fn replace_routing_table(&self, routing_table: RoutingTable) {
        let mut current = self
            .routing_table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(routing_table));
    }

    pub(crate) fn store_status(&self) -> MutexGuard<'_, StoreStatus> {
        lock(&self.store_status)
    }

    /// Records a failed call for a family.
    pub(crate) fn record_store_failure(&self, family: Family, failure: &StoreFailure) {
        let is_first_failure = {
            let mut status = self.store_status();
            status.outage_met_at.insert(family, failure.met_at);
            status.unavailable.insert(family)
        };
        self.metrics.count_store_failure(family);
        if is_first_failure {
            log::warn!(family = family.as_str(), reason = failure.reason.as_str(); "store not reached");
        }
    }

    /// Records that a list of a family is the first one after a restore of the store.
    pub(crate) fn record_restored_list(&self, family: Family) {
        let now = self.now();
        let mut status = self.store_status();
        status.recovered_at.insert(family, now);
        status.outage_met_at.remove(&family);
        status.restore_grace.on_restored_list(now, family);
    }

    /// Records a list of a family.
    pub(crate) fn record_store_success(&self, family: Family) {
        let now = self.now();
        let mut status = self.store_status();
        status.loaded.insert(family);
        if status.unavailable.remove(&family) {
            status.recovered_at.insert(family, now);
            log::info!(family = family.as_str(); "store reached again");
        }
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

    pub(crate) fn datagram_filter(&self) -> MutexGuard<'_, DatagramFilter> {
        lock(&self.datagram_filter)
    }

    /// Whether callers may send requests to this VM: it has loaded what it needs, and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.routing_table_when_loaded().is_some() && !self.is_stopping()
    }

    /// Whether this VM knows the VMs between which quotas can be divided.
    pub(crate) fn knows_vms(&self) -> bool {
        let is_listed = self.store_status().loaded.contains(&Family::Vms);
        is_listed && self.fleet().is_complete(self.age())
    }

    /// The routing table of the deployment in use. `None` until this VM also knows the targets, and quotas are divided
    /// between the VMs.
    pub(crate) fn routing_table_when_loaded(&self) -> Option<Arc<RoutingTable>> {
        let targets_loaded = self.store_status().loaded.contains(&Family::Targets);
        if targets_loaded && self.quota().is_divided() {
            self.routing_table()
        } else {
            None
        }
    }

    /// Sets the gauges to their current values and renders all metrics as Prometheus text.
    #[allow(clippy::cast_precision_loss, reason = "metrics are floating point")]
    pub(crate) fn render_metrics(&self) -> String {
        let ready = self.is_ready();
        let version = self.routing_table().map_or(0, |table| table.version());
        let vms = self.fleet().vm_count();
        let noticed = self.targets().noticed_targets(self.now());
        let leaving = noticed.iter().filter(|target| target.leaving).count();
        let is_paused = |target: &&NoticedTarget| target.pause_left > Millis::ZERO;
        let paused = noticed.iter().filter(is_paused).count();
        let quarantined = self.quarantine().count(self.now());
        let metrics = &self.metrics;
        {
            let now = self.now();
            let progress = self.watch_progress();
            for family in Family::ALL {
                let state_age = progress.state_age(now, family);
                metrics.set_ages(family, state_age, progress.watch_age(now, family));
            }
            let epoch = progress.epoch().unwrap_or_default();
            metrics.store_epoch.set(epoch.0 as f64);
        }
        metrics
            .running_requests
            .set(self.running_requests.load(Ordering::Relaxed) as f64);
        metrics.target_connections.absolute(self.client.opened());
        metrics.deployment_version.set(version as f64);
        metrics.registered_vms.set(vms as f64);
        metrics.leaving_targets.set(leaving as f64);
        metrics.paused_targets.set(paused as f64);
        metrics.quarantined_requests.set(quarantined as f64);
        metrics.ready.set(f64::from(u8::from(ready)));
        metrics.render()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Begins the stop, and returns its times.
    pub(crate) fn begin_stop(&self) -> StopTimes {
        let times = StopTimes::new(self.settings.stop_timeout);
        self.stop.begin(self.now() + times.end);
        times
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
