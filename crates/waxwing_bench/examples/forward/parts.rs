//! What the parts share, and the target.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use async_executor::Executor;
use hyper::body::Incoming;
use hyper::{Request, Response};
use waxwing_http::{Body, Handler, Server, ServerLimits, full};

/// Bytes of a response.
const RESPONSE: &[u8] = &[b'.'; 256];
/// Threads of the target and of the load, which must not be the bottleneck.
pub(crate) const THREADS: usize = 3;

/// Runs a future on an executor with as many threads.
pub(crate) fn block_on<T>(
    executor: &Arc<Executor<'static>>,
    threads: usize,
    main: impl Future<Output = T>,
) -> T {
    for _ in 1..threads {
        let executor = Arc::clone(executor);
        std::thread::spawn(move || {
            async_io::block_on(executor.run(std::future::pending::<()>()));
        });
    }
    async_io::block_on(executor.run(main))
}

struct Fixed;

impl Handler for Fixed {
    fn handle(
        self: Arc<Self>,
        _request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async { Response::new(full(RESPONSE)) })
    }
}

/// Runs a target that answers at once.
pub(crate) fn target(listen: SocketAddr) -> anyhow::Result<()> {
    let executor = Arc::new(Executor::new());
    block_on(&executor, THREADS, async {
        let limits = ServerLimits::default();
        Server::start(&executor, listen, limits, Arc::new(Fixed)).await?;
        std::future::pending().await
    })
}
