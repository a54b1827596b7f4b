//! The edge daemon as a whole: start, graceful stop, and the process around it.

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
use waxwing_types::{Millis, MonotonicClock};

use super::listen::{Callers, Directory, Readiness, Scrapes};
use super::settings::EdgeSettings;
use super::state::Shared;
use super::{peers, watch};
use crate::run::{Workers, new_incarnation};
use crate::signal::StopSignals;

pub use super::state::EdgeParts;

/// Connections to the directory and to the checks of readiness.
const SMALL_CONNECTIONS: usize = 512;
/// Time after a stop signal in which connections are accepted: callers learn from the directory
/// within its lifetime that this VM leaves.
const NOTICE: Millis = Millis(2500);
/// Part of the grace time that is left for the end of the process.
const MARGIN: Millis = Millis(400);
/// Pause between two looks at a condition while the daemon stops.
const LOOK: Duration = Duration::from_millis(20);
/// Time for which an idle connection to a target is kept, if the target states none. Targets close
/// idle connections after ten seconds and more.
const IDLE_LIFE: Duration = Duration::from_secs(5);

/// A running edge daemon.
pub struct EdgeDaemon {
    shared: Arc<Shared>,
    callers: Server,
    directory: Server,
    readiness: Server,
    metrics: Server,
    tasks: Vec<Task<()>>,
}

impl EdgeDaemon {
    /// Binds the addresses and starts to serve. The worker threads must run `parts.executor`.
    ///
    /// # Errors
    /// An address cannot be bound; the error names the setting.
    pub async fn start(settings: EdgeSettings, parts: EdgeParts) -> anyhow::Result<Self> {
        let socket = Async::<UdpSocket>::bind(settings.peer);
        let socket = socket.with_context(|| format!("--peer {}", settings.peer))?;
        let own = VmEntry {
            id: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            client: settings.listen,
            peer: socket.get_ref().local_addr().context("--peer")?,
            incarnation: parts.incarnation,
        };
        let limits = ServerLimits {
            connections: settings.max_connections,
            ..ServerLimits::default()
        };
        let few = ServerLimits {
            connections: SMALL_CONNECTIONS,
            ..limits
        };
        let (listen, directory, readiness) =
            (settings.listen, settings.directory, settings.readiness);
        let metrics = settings.metrics;
        let shared = Arc::new(Shared::new(settings, own, socket, parts));
        let handler = Arc::new(Readiness(Arc::clone(&shared)));
        let readiness = serve(&shared, "--readiness", readiness, few, handler).await?;
        let handler = Arc::new(Directory(Arc::clone(&shared)));
        let directory = serve(&shared, "--directory", directory, few, handler).await?;
        let handler = Arc::new(Scrapes(Arc::clone(&shared)));
        let metrics = serve(&shared, "--metrics", metrics, few, handler).await?;
        let handler = Arc::new(Callers(Arc::clone(&shared)));
        let callers = serve(&shared, "--listen", listen, limits, handler).await?;
        let mut tasks = watch::start(&shared);
        tasks.extend(peers::start(&shared));
        log::info!(
            vm = shared.settings.vm.as_str(), domain = shared.settings.domain.as_str(),
            region = shared.settings.region.as_str(), incarnation = shared.own.incarnation.0,
            callers = listen.to_string().as_str(), metrics = metrics.address().to_string().as_str();
            "edge daemon started"
        );
        Ok(Self {
            shared,
            callers,
            directory,
            readiness,
            metrics,
            tasks,
        })
    }

    /// The address for callers.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address for callers that ask for entry VMs.
    pub fn directory(&self) -> SocketAddr {
        self.directory.address()
    }

    /// The address for checks of readiness.
    pub fn readiness(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// The address for reads of the metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics.address()
    }

    /// Stops gracefully: leaves the directory, accepts for the notice time and finishes the running
    /// requests. Returns whether every request was finished in time.
    pub async fn stop(self) -> bool {
        let shared = &self.shared;
        log::info!(running = shared.running.load(Ordering::Relaxed); "stop begins");
        shared.begin_stop();
        self.callers.close_after_response();
        let task = peers::withdraw(Arc::clone(shared));
        let withdrawal = shared.executor.spawn(task);
        Timer::after(NOTICE.duration()).await;
        let left = shared.settings.grace - NOTICE - MARGIN;
        let finish = async {
            self.callers.shutdown().await;
            while shared.running.load(Ordering::Relaxed) > 0 {
                Timer::after(LOOK).await;
            }
            true
        };
        let expired = async {
            Timer::after(left.duration()).await;
            false
        };
        let finished = future::or(finish, expired).await;
        log::info!(finished = finished, running = shared.running.load(Ordering::Relaxed); "stop ends");
        drop(withdrawal);
        self.directory.stop_accepting();
        self.readiness.stop_accepting();
        for task in self.tasks {
            task.cancel().await;
        }
        finished
    }
}

async fn serve(
    shared: &Shared,
    name: &str,
    address: SocketAddr,
    limits: ServerLimits,
    handler: Arc<dyn Handler>,
) -> anyhow::Result<Server> {
    let timer = shared.timer.clone();
    let server = Server::start_with(&shared.executor, address, limits, handler, timer).await;
    server.with_context(|| format!("{name} {address}"))
}

/// Runs the edge daemon until SIGTERM or SIGINT, and stops it gracefully.
///
/// # Errors
/// Threads, signals or addresses are not available.
pub fn run(settings: EdgeSettings) -> anyhow::Result<()> {
    let executor = Arc::new(Executor::new());
    let workers = Workers::start(&executor, settings.workers).context("worker threads")?;
    let life = executor.spawn(live(settings, Arc::clone(&executor)));
    let result = future::block_on(life);
    workers.stop();
    result
}

async fn live(settings: EdgeSettings, executor: Arc<Executor<'static>>) -> anyhow::Result<()> {
    let mut signals = StopSignals::new()?;
    let store = ClientLimits {
        idle: 8,
        connect: settings.connect_timeout.duration(),
        ..ClientLimits::default()
    };
    let store = Client::new(Arc::clone(&executor), store);
    let targets = ClientLimits {
        idle: settings.idle_connections,
        idle_life: IDLE_LIFE,
        connect: settings.connect_timeout.duration(),
        ..ClientLimits::default()
    };
    let parts = EdgeParts {
        clock: Arc::new(MonotonicClock::new()),
        registry: Arc::new(PlatformRegistry::new(store, settings.store)),
        dialect: Arc::new(PlatformDialect::default()),
        executor: Arc::clone(&executor),
        client: Client::new(Arc::clone(&executor), targets),
        incarnation: new_incarnation(),
    };
    let daemon = EdgeDaemon::start(settings, parts).await?;
    signals.wait().await;
    daemon.stop().await;
    Ok(())
}
