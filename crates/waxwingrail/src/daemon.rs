//! Start and graceful stop of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use async_executor::{Executor, Task};
use async_io::Timer;
use futures_lite::future;
use waxwing_http::{Handler, Server, ServerLimits};
use waxwing_peer::{PeerHandler, PeerNode, PeerSettings, Peers};
use waxwing_types::Millis;

use crate::admin::AdminHandler;
use crate::request::{CallerHandler, RegionHandler};
use crate::settings::Settings;
use crate::state::{DaemonComponents, Shared};
use crate::task::{self, PeerRequestHandler, TaskContext};

/// Connection limit of the admin address. It can be low, because few clients connect to this address. It
/// is separate from the limit for callers, so that admin clients can connect when callers have used up
/// their limit.
const ADMIN_CONNECTIONS: usize = 256;
/// Timeout for handing over the shards of this VM at a stop, which takes one write to the store.
const HANDOVER_TIMEOUT: Millis = Millis::from_secs(3);
/// Interval at which a condition is checked while the daemon stops.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Addresses that a daemon has bound.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for requests from entry VMs of other regions.
    pub peer_http: SocketAddr,
    /// Address for calls from other daemons.
    pub peer: SocketAddr,
    /// Address for health, metrics and status.
    pub admin: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    ctx: TaskContext,
    caller_server: Server,
    region_server: Server,
    admin_server: Server,
    peer_address: SocketAddr,
    tasks: Vec<Task<()>>,
}

impl Daemon {
    /// Binds the addresses, starts the servers and the background tasks. Worker threads must run
    /// `components.executor`.
    ///
    /// # Errors
    /// If an address cannot be bound; the error names the setting.
    pub async fn start(settings: Settings, components: DaemonComponents) -> anyhow::Result<Self> {
        let executor = Arc::clone(&components.executor);
        let shared = Arc::new(Shared::new(settings, components));
        let settings = &shared.settings;
        // The peer address is bound first, because an earlier process of this VM holds it until it
        // exits.
        let request_handler = Arc::new(PeerRequestHandler::new(Arc::clone(&shared)));
        let handler: Arc<dyn PeerHandler> = Arc::clone(&request_handler) as _;
        let node = PeerNode::start(settings.peer, PeerSettings::default(), handler)
            .with_context(|| format!("--peer {}", settings.peer))?;
        let peer_address = node.local_addr();
        let peers: Arc<dyn Peers> = Arc::new(node);
        request_handler.set_peers(&peers);
        let ctx = TaskContext {
            shared: Arc::clone(&shared),
            peers,
        };
        let limits = ServerLimits {
            header_bytes: settings.max_header_bytes,
            connections: settings.max_connections,
            header_time: settings.header_timeout.duration(),
            ..ServerLimits::default()
        };
        let admin_limits = ServerLimits {
            connections: ADMIN_CONNECTIONS,
            ..limits
        };
        let admin_handler: Arc<dyn Handler> = Arc::new(AdminHandler(Arc::clone(&shared)));
        let region_handler: Arc<dyn Handler> = Arc::new(RegionHandler(Arc::clone(&shared)));
        let caller_handler: Arc<dyn Handler> = Arc::new(CallerHandler(Arc::clone(&shared)));
        let admin_server = start_server(
            &executor,
            "--admin",
            settings.admin,
            admin_limits,
            admin_handler,
        )
        .await?;
        let region_server = start_server(
            &executor,
            "--peer-http",
            settings.peer_http,
            limits,
            region_handler,
        )
        .await?;
        let caller_server = start_server(
            &executor,
            "--listen",
            settings.listen,
            limits,
            caller_handler,
        )
        .await?;
        // Cannot fail: this is the only place that sets the server.
        let _ = shared.caller_server.set(caller_server.clone());
        let tasks = task::start(&ctx);
        let daemon = Self {
            ctx,
            caller_server,
            region_server,
            admin_server,
            peer_address,
            tasks,
        };
        daemon.log_start();
        Ok(daemon)
    }

    fn log_start(&self) {
        let settings = &self.ctx.shared.settings;
        let addresses = self.addresses();
        log::info!(
            vm = settings.vm.as_str(), domain = settings.domain.as_str(),
            region = settings.region.as_str(), incarnation = self.ctx.shared.incarnation.0,
            callers = addresses.callers.to_string().as_str(),
            peer = addresses.peer.to_string().as_str(),
            admin = addresses.admin.to_string().as_str();
            "daemon started"
        );
    }

    /// Stops gracefully: announces the stop, keeps accepting connections for the time `drain_notice`, lets
    /// running requests finish until the drain timeout, and hands the shards over. Returns whether all
    /// requests finished before the drain timeout.
    pub async fn stop(self) -> bool {
        let shared = &self.ctx.shared;
        let settings = &shared.settings;
        log::info!(running = shared.running_requests(); "stop begins");
        shared.begin_stop();
        self.caller_server.close_after_response();
        self.region_server.close_after_response();
        Timer::after(settings.drain_notice.duration()).await;
        self.caller_server.stop_accepting();
        self.region_server.stop_accepting();
        let remaining = settings.drain_timeout - settings.drain_notice;
        let finished = completes_within(remaining, self.wait_for_requests()).await;
        if !finished {
            log::warn!(running = shared.running_requests(); "requests are cut off by the drain timeout");
        }
        let released = completes_within(HANDOVER_TIMEOUT, self.hand_over_shards()).await;
        log::info!(finished = finished, released = released; "stop ends");
        self.admin_server.stop_accepting();
        for task in self.tasks {
            task.cancel().await;
        }
        finished
    }

    /// Waits until all requests are finished and all connections are closed.
    async fn wait_for_requests(&self) {
        future::zip(self.caller_server.shutdown(), self.region_server.shutdown()).await;
        // A request may write its idempotency record after its response has been sent.
        wait_until(|| self.ctx.shared.running_requests() == 0).await;
    }

    /// Hands the shards of this VM over to other VMs and waits until it owns none.
    async fn hand_over_shards(&self) {
        let shared = &self.ctx.shared;
        {
            let mut rate_limiter = shared.rate_limiter();
            rate_limiter.stop(shared.now());
        }
        shared.request_limiter_tick();
        wait_until(|| shared.rate_limiter().owns_no_shards()).await;
    }
}

impl Daemon {
    /// Returns the addresses that the daemon has bound.
    pub fn addresses(&self) -> BoundAddresses {
        BoundAddresses {
            callers: self.caller_server.address(),
            peer_http: self.region_server.address(),
            peer: self.peer_address,
            admin: self.admin_server.address(),
        }
    }
}

/// Starts an HTTP server. An error names the flag that sets its address.
async fn start_server(
    executor: &Arc<Executor<'static>>,
    flag: &str,
    address: SocketAddr,
    limits: ServerLimits,
    handler: Arc<dyn Handler>,
) -> anyhow::Result<Server> {
    let server = Server::start(executor, address, limits, handler).await;
    server.with_context(|| format!("{flag} {address}"))
}

/// Runs the work for at most `timeout` and returns whether it completed.
async fn completes_within(timeout: Millis, work: impl Future<Output = ()>) -> bool {
    let work = async {
        work.await;
        true
    };
    let timer = async {
        Timer::after(timeout.duration()).await;
        false
    };
    future::or(work, timer).await
}

/// Waits until the condition holds.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        Timer::after(POLL_INTERVAL).await;
    }
}
