//! The server: limits, one task for each connection, graceful shutdown in two phases.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_net::{TcpListener, TcpStream};
use futures_lite::future;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use waxwing_types::{Ran, RefusalReason};

use crate::linger::linger;
use crate::socket::tune;
use crate::{Body, CoarseTimer, Problem};

/// The protocol library's own bound on a header section, as a multiple of the configured limit.
/// Below it the server rejects with a problem body; above it the library answers 431 alone.
const HARD_HEADER_FACTOR: usize = 4;
/// Smallest buffer that the protocol library accepts, in bytes.
pub(crate) const MIN_BUFFER_BYTES: usize = 8192;
/// Pause after an accept that failed, for example because no file descriptor was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Precision of the header timeout.
const HEADER_TICK: Duration = Duration::from_millis(100);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Greatest size of a request's header section in bytes.
    pub header_bytes: usize,
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Time allowed for reading a header section, and idle time between requests.
    pub header_time: Duration,
    /// Time for which the rest of a request is read and dropped after a response that ended its connection, so that
    /// the response reaches a caller that is still sending.
    pub linger_time: Duration,
}

impl ServerLimits {
    /// The protocol library's own bound on a header section, in bytes.
    fn hard_header_bytes(&self) -> usize {
        self.header_bytes * HARD_HEADER_FACTOR
    }

    /// Most bytes that a connection buffers in each direction.
    pub fn buffer_bytes(&self) -> usize {
        self.hard_header_bytes().max(MIN_BUFFER_BYTES)
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            connections: 10_000,
            header_time: Duration::from_mins(1),
            linger_time: Duration::from_secs(1),
        }
    }
}

/// Answers requests. The future is dropped when the caller goes away.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

    /// Called for each rejection that the server makes without the handler.
    fn rejected(&self, _reason: RefusalReason) {}

    /// Called for each connection that is closed because too many are open.
    fn overloaded(&self) {}
}

struct State {
    limits: ServerLimits,
    address: SocketAddr,
    connections: AtomicUsize,
    timer: CoarseTimer,
    /// Set in the first phase of shutdown: responses carry `Connection: close`.
    closing: AtomicBool,
    stop_accept: (Sender<()>, Receiver<()>),
    close_idle: (Sender<()>, Receiver<()>),
    /// Closed when the last connection task and the accept task have ended.
    ended: Receiver<()>,
}

/// A running server. Dropping it leaves the server running.
#[derive(Clone)]
pub struct Server {
    state: Arc<State>,
}

impl Server {
    /// Binds the address and starts to serve on the executor.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let timer = CoarseTimer::start(executor, HEADER_TICK);
        Self::start_with(executor, address, limits, handler, timer).await
    }

    /// Like [`Server::start`], with a source of time-outs that others use too.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start_with(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<dyn Handler>,
        timer: CoarseTimer,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (alive, ended) = async_channel::bounded(1);
        let state = Arc::new(State {
            limits,
            address: listener.local_addr()?,
            connections: AtomicUsize::new(0),
            timer,
            closing: AtomicBool::new(false),
            stop_accept: async_channel::bounded(1),
            close_idle: async_channel::bounded(1),
            ended,
        });
        let acceptor = Acceptor {
            executor: Arc::clone(executor),
            state: Arc::clone(&state),
            handler,
            alive,
        };
        executor.spawn(acceptor.run(listener)).detach();
        Ok(Self { state })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Lets each response from now on close its connection. Connections are still accepted.
    pub fn close_after_response(&self) {
        self.state.closing.store(true, Ordering::Relaxed);
    }

    /// Stops to accept once the connections in the backlog have been accepted. Open connections
    /// are closed after their next response.
    pub fn stop_accepting(&self) {
        self.close_after_response();
        self.state.stop_accept.0.close();
    }

    /// Stops to accept, closes connections that are idle and waits until every request has been
    /// answered and every connection closed.
    pub async fn shutdown(&self) {
        self.stop_accepting();
        self.state.close_idle.0.close();
        let _ = self.state.ended.recv().await;
    }
}

struct Acceptor {
    executor: Arc<Executor<'static>>,
    state: Arc<State>,
    handler: Arc<dyn Handler>,
    alive: Sender<()>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            // Accepting comes first, so that the backlog is empty when the listener closes.
            let accepted = future::or(async { Some(listener.accept().await) }, async {
                let _ = self.state.stop_accept.1.recv().await;
                None
            })
            .await;
            match accepted {
                None => return,
                Some(Ok((stream, peer))) => self.admit(stream, peer),
                Some(Err(error)) => {
                    log::warn!(error = error.to_string().as_str(); "cannot accept a connection");
                    async_io::Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        if self.state.connections.load(Ordering::Relaxed) >= self.state.limits.connections {
            log::debug!(peer = peer.to_string().as_str(); "connection limit reached");
            self.handler.overloaded();
            return;
        }
        let open = Open::new(Arc::clone(&self.state), self.alive.clone());
        let handler = Arc::clone(&self.handler);
        self.executor
            .spawn(serve(stream, peer, open, handler))
            .detach();
    }
}

/// Counts a connection for as long as it lives.
struct Open {
    state: Arc<State>,
    _alive: Sender<()>,
}

impl Open {
    fn new(state: Arc<State>, alive: Sender<()>) -> Self {
        state.connections.fetch_add(1, Ordering::Relaxed);
        Self {
            state,
            _alive: alive,
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.state.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(stream: TcpStream, peer: SocketAddr, open: Open, handler: Arc<dyn Handler>) {
    if let Err(error) = tune(&stream) {
        log::debug!(error = error.to_string().as_str(); "socket options not set");
    }
    let state = &open.state;
    let socket = stream.clone();
    // Whether the last request had a body, of which the handler may have left a part unread.
    let has_body = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        has_body.store(!request.body().is_end_stream(), Ordering::Relaxed);
        answer(state, &handler, request, peer)
    });
    let conn = http1::Builder::new()
        .timer(state.timer.clone())
        .header_read_timeout(state.limits.header_time)
        .max_header_size(state.limits.hard_header_bytes())
        .max_buf_size(state.limits.buffer_bytes())
        .serve_connection(FuturesIo::new(stream), service);
    let mut conn = pin!(conn);
    let idle = async {
        let _ = state.close_idle.1.recv().await;
        None
    };
    let ended = future::or(async { Some(conn.as_mut().await) }, idle).await;
    let result = if let Some(result) = ended {
        result
    } else {
        conn.as_mut().graceful_shutdown();
        conn.await
    };
    let is_unread_head = result.as_ref().is_err_and(hyper::Error::is_parse);
    if let Err(error) = result {
        note_error(&error, peer, handler.as_ref());
    }
    if is_unread_head || has_body.load(Ordering::Relaxed) {
        linger(socket, &state.timer, state.limits.linger_time).await;
    }
}

fn note_error(error: &hyper::Error, peer: SocketAddr, handler: &dyn Handler) {
    if error.is_parse_too_large() {
        handler.rejected(RefusalReason::TooLarge);
    } else if error.is_parse() {
        handler.rejected(RefusalReason::BadRequest);
    }
    log::debug!(
        peer = peer.to_string().as_str(), error = error.to_string().as_str();
        "connection ended"
    );
}

async fn answer(
    state: &State,
    handler: &Arc<dyn Handler>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Response<Body>, Infallible> {
    let mut response = if header_bytes(&request) > state.limits.header_bytes {
        handler.rejected(RefusalReason::TooLarge);
        too_large(state.limits.header_bytes)
    } else {
        Arc::clone(handler).handle(request, peer).await
    };
    if state.closing.load(Ordering::Relaxed) {
        announce_close(&mut response);
    }
    Ok(response)
}

/// Announces with a response that its connection will be closed. To be called while the server stops, and for a response
/// that is sent before the body of its request was read to its end: the server closes such a connection, and a caller that
/// is not told so may send its next request on it.
pub fn announce_close(response: &mut Response<Body>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

fn header_bytes(request: &Request<Incoming>) -> usize {
    let path = request
        .uri()
        .path_and_query()
        .map_or(0, |p| p.as_str().len());
    let headers = request.headers().iter();
    path + headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>()
}

fn too_large(limit: usize) -> Response<Body> {
    Problem {
        status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        reason: RefusalReason::TooLarge.as_str(),
        ran: Ran::No,
        detail: &format!("the header section exceeds {limit} bytes"),
        retry_after: None,
    }
    .response()
}
