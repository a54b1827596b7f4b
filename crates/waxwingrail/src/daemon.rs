//! The daemon as a whole: start and graceful stop.

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

use crate::admin::Admin;
use crate::request::{Callers, Regions};
use crate::settings::Settings;
use crate::state::{Dependencies, Shared};
use crate::task::{self, Answers, Context};

/// Connections on the admin address. Its callers are few, and must get through when callers of
/// services do not.
const ADMIN_CONNECTIONS: usize = 256;
/// Time for handing over the shards at a stop. It takes one write to the store.
const HANDOVER: Millis = Millis::from_secs(3);
/// Pause between two looks at a condition while the daemon stops.
const LOOK: Duration = Duration::from_millis(10);

/// The addresses that a daemon has bound.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Entry VMs of other regions.
    pub peer_http: SocketAddr,
    /// Other daemons.
    pub peer: SocketAddr,
    /// Health, metrics and status.
    pub admin: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    ctx: Context,
    callers: Server,
    regions: Server,
    admin: Server,
    peer: SocketAddr,
    tasks: Vec<Task<()>>,
}

impl Daemon {
    /// Binds the addresses and starts to serve. The worker threads must run `dependencies.executor`.
    ///
    /// # Errors
    /// An address cannot be bound; the error names the setting.
    pub async fn start(settings: Settings, dependencies: Dependencies) -> anyhow::Result<Self> {
        let executor = Arc::clone(&dependencies.executor);
        let shared = Arc::new(Shared::new(settings, dependencies));
        let settings = &shared.settings;
        // First, because an earlier process of this VM holds the address until it has ended.
        let answers = Arc::new(Answers::new(Arc::clone(&shared)));
        let handler: Arc<dyn PeerHandler> = Arc::clone(&answers) as _;
        let node = PeerNode::start(settings.peer, PeerSettings::default(), handler)
            .with_context(|| format!("--peer {}", settings.peer))?;
        let peer = node.local_addr();
        let peers: Arc<dyn Peers> = Arc::new(node);
        answers.set_peers(&peers);
        let ctx = Context {
            shared: Arc::clone(&shared),
            peers,
        };
        let limits = ServerLimits {
            header_bytes: settings.max_header_bytes,
            connections: settings.max_connections,
            header_time: settings.header_timeout.duration(),
        };
        let few = ServerLimits {
            connections: ADMIN_CONNECTIONS,
            ..limits
        };
        let admin: Arc<dyn Handler> = Arc::new(Admin(Arc::clone(&shared)));
        let regions: Arc<dyn Handler> = Arc::new(Regions(Arc::clone(&shared)));
        let callers: Arc<dyn Handler> = Arc::new(Callers(Arc::clone(&shared)));
        let admin = serve(&executor, "--admin", settings.admin, few, admin).await?;
        let regions = serve(
            &executor,
            "--peer-http",
            settings.peer_http,
            limits,
            regions,
        )
        .await?;
        let callers = serve(&executor, "--listen", settings.listen, limits, callers).await?;
        // Set once, here.
        let _ = shared.caller_server.set(callers.clone());
        let tasks = task::start(&ctx);
        let daemon = Self {
            ctx,
            callers,
            regions,
            admin,
            peer,
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

    /// Stops gracefully: announces it, accepts for the notice time, finishes the running requests,
    /// and hands the shards over. Returns whether every request was finished in time.
    pub async fn stop(self) -> bool {
        let shared = &self.ctx.shared;
        let settings = &shared.settings;
        log::info!(running = shared.running_requests(); "stop begins");
        shared.begin_stop();
        self.callers.close_after_response();
        self.regions.close_after_response();
        Timer::after(settings.drain_notice.duration()).await;
        self.callers.stop_accepting();
        self.regions.stop_accepting();
        let left = settings.drain_timeout - settings.drain_notice;
        let finished = within(left, self.finish()).await;
        if !finished {
            log::warn!(running = shared.running_requests(); "requests are cut off by the drain timeout");
        }
        let released = within(HANDOVER, self.release()).await;
        log::info!(finished = finished, released = released; "stop ends");
        self.admin.stop_accepting();
        for task in self.tasks {
            task.cancel().await;
        }
        finished
    }

    /// Waits until every request was answered and every connection is closed.
    async fn finish(&self) {
        future::zip(self.callers.shutdown(), self.regions.shutdown()).await;
        // The last writes of idempotency records come after the responses.
        until(|| self.ctx.shared.running_requests() == 0).await;
    }

    /// Hands the shards over.
    async fn release(&self) {
        let shared = &self.ctx.shared;
        {
            let mut ledger = shared.rate_limiter();
            ledger.stop(shared.now());
        }
        shared.request_limiter_tick();
        until(|| shared.rate_limiter().owns_no_shards()).await;
    }
}

impl Daemon {
    /// The addresses that the daemon has bound.
    pub fn addresses(&self) -> BoundAddresses {
        BoundAddresses {
            callers: self.callers.address(),
            peer_http: self.regions.address(),
            peer: self.peer,
            admin: self.admin.address(),
        }
    }
}

async fn serve(
    executor: &Arc<Executor<'static>>,
    name: &str,
    address: SocketAddr,
    limits: ServerLimits,
    handler: Arc<dyn Handler>,
) -> anyhow::Result<Server> {
    let server = Server::start(executor, address, limits, handler).await;
    server.with_context(|| format!("{name} {address}"))
}

/// Whether the work ends within a span.
async fn within(span: Millis, work: impl Future<Output = ()>) -> bool {
    let work = async {
        work.await;
        true
    };
    let timer = async {
        Timer::after(span.duration()).await;
        false
    };
    future::or(work, timer).await
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        Timer::after(LOOK).await;
    }
}
