//! Startup, graceful stop and main function of the edge daemon.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context as _;
use async_executor::{Executor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use waxwing_http::{Client, ClientLimits, Handler, Server, ServerLimits};
use waxwing_platform::{PlatformDialect, PlatformRegistry};
use waxwing_records::VmEntry;
use waxwing_types::MonotonicClock;

use super::handlers::{DirectoryHandler, MetricsHandler, ReadinessHandler, RequestHandler};
use super::memory::MemoryLimits;
use super::settings::EdgeSettings;
use super::state::Shared;
use super::{peers, registration, state_age, ticks, watch};
use crate::run::{Workers, new_incarnation};
use crate::signal::StopSignals;

pub use super::state::EdgeComponents;

/// Maximum number of connections to each of the directory, readiness and metrics servers.
const AUXILIARY_CONNECTIONS: usize = 512;
/// Period at which a stopping daemon checks whether requests are still running.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time for which an idle connection to a target is kept, unless the target states another time.
/// Targets close idle connections after ten seconds or more.
const TARGET_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running edge daemon.
pub struct EdgeDaemon {
    shared: Arc<Shared>,
    caller_server: Server,
    directory_server: Server,
    readiness_server: Server,
    metrics_server: Server,
    tasks: Vec<Task<()>>,
}

impl EdgeDaemon {
    /// Binds all listening addresses and starts serving. Worker threads must run
    /// `components.executor`.
    ///
    /// # Errors
    /// An address cannot be bound. The error names the flag.
    pub async fn start(settings: EdgeSettings, components: EdgeComponents) -> anyhow::Result<Self> {
        let socket = Async::<UdpSocket>::bind(settings.peer);
        let socket = socket.with_context(|| format!("--peer {}", settings.peer))?;
        let own_entry = VmEntry {
            id: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            client: settings.listen,
            peer: socket.get_ref().local_addr().context("--peer")?,
            incarnation: components.incarnation,
        };
        let (caller_address, directory_address, readiness_address) =
            (settings.listen, settings.directory, settings.readiness);
        let metrics_address = settings.metrics;
        state_age::log_short_limits(&settings);
        let shared = Arc::new(Shared::new(settings, own_entry, socket, components));
        let most_connections = shared.memory_limits.connections;
        let caller_limits = ServerLimits {
            connections: shared.settings.max_connections.min(most_connections),
            ..ServerLimits::default()
        };
        let auxiliary_limits = ServerLimits {
            connections: AUXILIARY_CONNECTIONS,
            ..caller_limits
        };
        let readiness_handler = Arc::new(ReadinessHandler(Arc::clone(&shared)));
        let readiness_server = start_server(
            &shared,
            "--readiness",
            readiness_address,
            auxiliary_limits,
            readiness_handler,
        )
        .await?;
        let directory_handler = Arc::new(DirectoryHandler(Arc::clone(&shared)));
        let directory_server = start_server(
            &shared,
            "--directory",
            directory_address,
            auxiliary_limits,
            directory_handler,
        )
        .await?;
        let metrics_handler = Arc::new(MetricsHandler(Arc::clone(&shared)));
        let metrics_server = start_server(
            &shared,
            "--metrics",
            metrics_address,
            auxiliary_limits,
            metrics_handler,
        )
        .await?;
        let request_handler = Arc::new(RequestHandler(Arc::clone(&shared)));
        let caller_server = start_server(
            &shared,
            "--listen",
            caller_address,
            caller_limits,
            request_handler,
        )
        .await?;
        let mut tasks = watch::spawn_watches(&shared);
        tasks.extend(peers::spawn_tasks(&shared));
        tasks.push(
            shared
                .executor
                .spawn(registration::register_at_start(Arc::clone(&shared))),
        );
        tasks.push(shared.executor.spawn(ticks::run_ticks(Arc::clone(&shared))));
        log::info!(
            vm = shared.settings.vm.as_str(), domain = shared.settings.domain.as_str(),
            region = shared.settings.region.as_str(), incarnation = shared.own_entry.incarnation.0,
            callers = caller_address.to_string().as_str(), metrics = metrics_server.address().to_string().as_str();
            "edge daemon started"
        );
        Ok(Self {
            shared,
            caller_server,
            directory_server,
            readiness_server,
            metrics_server,
            tasks,
        })
    }

    /// The address on which callers send requests.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// The address on which callers look up entry VMs.
    pub fn directory_address(&self) -> SocketAddr {
        self.directory_server.address()
    }

    /// The address for readiness checks.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_server.address()
    }

    /// The address on which metrics are scraped.
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics_server.address()
    }

    /// Stops gracefully. Withdraws the registration, accepts connections until callers have learned of
    /// the stop, then waits for the running requests. Returns whether all requests finished in time.
    pub async fn stop(self) -> bool {
        let shared = &self.shared;
        log::info!(running = shared.running_requests.load(Ordering::Relaxed); "stop begins");
        let times = shared.begin_stop();
        self.caller_server.close_after_response();
        let task = registration::withdraw(Arc::clone(shared));
        let withdrawal = shared.executor.spawn(task);
        Timer::after(times.notice.duration()).await;
        let drain_timeout = times.end - times.notice;
        let drained = async {
            self.caller_server.shutdown().await;
            while shared.running_requests.load(Ordering::Relaxed) > 0 {
                Timer::after(DRAIN_POLL_PERIOD).await;
            }
            true
        };
        let timed_out = async {
            Timer::after(drain_timeout.duration()).await;
            false
        };
        let all_finished = future::or(drained, timed_out).await;
        log::info!(finished = all_finished, running = shared.running_requests.load(Ordering::Relaxed); "stop ends");
        drop(withdrawal);
        self.directory_server.stop_accepting();
        self.readiness_server.stop_accepting();
        for task in self.tasks {
            task.cancel().await;
        }
        all_finished
    }
}

/// Starts a server. `flag` is the command line flag of the address, for the error message.
async fn start_server(
    shared: &Shared,
    flag: &str,
    address: SocketAddr,
    limits: ServerLimits,
    handler: Arc<dyn Handler>,
) -> anyhow::Result<Server> {
    let timer = shared.timer.clone();
    let server = Server::start_with(&shared.executor, address, limits, handler, timer).await;
    server.with_context(|| format!("{flag} {address}"))
}

/// Runs the edge daemon until SIGTERM or SIGINT, and stops it gracefully.
///
/// # Errors
/// The worker threads or signal handlers cannot be created, or an address cannot be bound.
pub fn run(settings: EdgeSettings) -> anyhow::Result<()> {
    let executor = Arc::new(Executor::new());
    let workers = Workers::start(&executor, settings.workers).context("worker threads")?;
    let daemon_task = executor.spawn(run_until_stopped(settings, Arc::clone(&executor)));
    let result = future::block_on(daemon_task);
    workers.stop();
    result
}

async fn run_until_stopped(
    settings: EdgeSettings,
    executor: Arc<Executor<'static>>,
) -> anyhow::Result<()> {
    let mut signals = StopSignals::new()?;
    let store_limits = ClientLimits {
        idle: 8, // idle connections to the store
        connect: settings.connect_timeout.duration(),
        ..ClientLimits::default()
    };
    let store_client = Client::new(Arc::clone(&executor), store_limits);
    let target_limits = ClientLimits {
        idle: settings.idle_connections,
        idle_in_all: MemoryLimits::new(settings.memory).idle_targets,
        idle_life: TARGET_IDLE_TIMEOUT,
        connect: settings.connect_timeout.duration(),
        ..ClientLimits::default()
    };
    let components = EdgeComponents {
        clock: Arc::new(MonotonicClock::new()),
        registry: Arc::new(PlatformRegistry::new(store_client, settings.store)),
        dialect: Arc::new(PlatformDialect::default()),
        executor: Arc::clone(&executor),
        client: Client::new(Arc::clone(&executor), target_limits),
        incarnation: new_incarnation(),
    };
    let daemon = EdgeDaemon::start(settings, components).await?;
    signals.wait().await;
    daemon.stop().await;
    Ok(())
}
