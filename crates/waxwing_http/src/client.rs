//! The client with its pool of connections.

use std::fmt;
use std::hash::RandomState;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use async_executor::Executor;
use futures_lite::future;
use hyper::body::{Body as _, Bytes, Frame, Incoming, SizeHint};
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode, Version};
use waxwing_types::Millis;

use crate::carried::Identity;
use crate::conn::{Conn, Outcome};
use crate::pool::Pool;
use crate::response_id::{ExpectedId, ResponseId};
use crate::server::MIN_BUFFER_BYTES;
use crate::validation::{AnyConnection, ConnectionInfo, ConnectionPolicy};
use crate::{Body, BodyError, streamed};

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Idle connections kept for each endpoint.
    pub idle: usize,
    /// Idle connections kept for all endpoints together.
    pub idle_in_all: usize,
    /// Time after which an idle connection is closed.
    pub idle_life: Duration,
    /// Time allowed for opening a connection.
    pub connect: Duration,
    /// Greatest size of a response's header section in bytes.
    pub header_bytes: usize,
}

impl ClientLimits {
    /// Most bytes that a connection buffers in each direction.
    pub fn buffer_bytes(&self) -> usize {
        self.header_bytes.max(MIN_BUFFER_BYTES)
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            idle: 64,
            idle_in_all: 4096,
            idle_life: Duration::from_secs(30),
            connect: Duration::from_secs(1),
            header_bytes: 32 * 1024,
        }
    }
}

/// Where a request is sent.
///
/// Connections are kept for each group at an address. Processes that have an address one after the other are different
/// groups, so that what one of them says on a connection that is still open is not taken for a statement of the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Endpoint {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Any number that the user of the client gives the group.
    pub group: u64,
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self { address, group: 0 }
    }
}

/// Why no response head arrived.
#[derive(Debug)]
pub enum SendError {
    /// The connection could not be opened; no byte was written and the body is untouched.
    Connect(io::Error),
    /// No byte was written, because no connection may carry the request.
    Withdrawn,
    /// No byte was written, because the peer did not answer what it was asked first.
    Unanswered,
    /// No byte was written, but part of the body may have been taken from its source.
    NotSent(hyper::Error),
    /// The connection broke after the first byte was written; the request may have run.
    Broken(hyper::Error),
    /// The response belongs to another request, and its connection was closed; the request may have run.
    Unmatched,
    /// The status of the response is none of 200 to 599, and its connection was closed; the request may have run.
    NoFinalStatus(StatusCode),
}

impl SendError {
    /// Whether a byte of the request may have reached the other side.
    pub fn may_have_run(&self) -> bool {
        matches!(
            self,
            Self::Broken(_) | Self::Unmatched | Self::NoFinalStatus(_)
        )
    }

    /// Whether the response could not be used, although its connection did not break.
    pub fn is_unusable_response(&self) -> bool {
        matches!(self, Self::Unmatched | Self::NoFinalStatus(_))
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "cannot connect: {error}"),
            Self::Withdrawn => f.write_str("withdrawn before it was sent"),
            Self::Unanswered => f.write_str("the process did not say whether it takes requests"),
            Self::NotSent(error) => write!(f, "nothing sent: {error}"),
            Self::Broken(error) => write!(f, "connection broke: {error}"),
            Self::Unmatched => write!(f, "the response belongs to another request"),
            Self::NoFinalStatus(status) => {
                write!(f, "{} is not the status of a response", status.as_u16())
            }
        }
    }
}

impl std::error::Error for SendError {}

pub(crate) struct Inner {
    executor: Arc<Executor<'static>>,
    pub(crate) pool: Pool,
    pub(crate) limits: ClientLimits,
    /// Hashes the ids of requests.
    hasher: RandomState,
    opened: AtomicU64,
}

/// An HTTP/1.1 client. Clones share their pool.
#[derive(Clone)]
pub struct Client {
    pub(crate) inner: Arc<Inner>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

impl Client {
    /// A client whose connections are driven by `executor`.
    pub fn new(executor: Arc<Executor<'static>>, limits: ClientLimits) -> Self {
        let pool = Pool::new(&limits);
        Self {
            inner: Arc::new(Inner {
                executor,
                pool,
                limits,
                hasher: RandomState::new(),
                opened: AtomicU64::new(0),
            }),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Idle connections are used first; one that turns out to be closed before the request was
    /// taken is replaced. Dropping the future, or the response's body before its end, closes the
    /// connection.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn send(
        &self,
        endpoint: impl Into<Endpoint>,
        request: Request<Body>,
    ) -> Result<Response<Body>, SendError> {
        self.send_with(endpoint.into(), request, None, &AnyConnection)
            .await
    }

    /// Sends a request like [`Client::send`], and expects a response with its id.
    ///
    /// The other side may write a response more than once, so that a copy arrives where the response to another request is
    /// due. No connection therefore carries an id twice, and a request without an id goes on a connection that carried nothing.
    /// A connection on which another response arrived is closed.
    ///
    /// `policy` decides which connections carry the request.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn send_identified(
        &self,
        endpoint: impl Into<Endpoint>,
        request: Request<Body>,
        id: ResponseId<'_>,
        policy: &impl ConnectionPolicy,
    ) -> Result<Response<Body>, SendError> {
        self.send_with(endpoint.into(), request, Some(id), policy)
            .await
    }

    async fn send_with(
        &self,
        endpoint: Endpoint,
        mut request: Request<Body>,
        id: Option<ResponseId<'_>>,
        policy: &impl ConnectionPolicy,
    ) -> Result<Response<Body>, SendError> {
        set_host(&mut request, endpoint.address);
        let expected = id.map(|id| ExpectedId::new(id, request.headers(), &self.inner.hasher));
        let identity = expected
            .as_ref()
            .map_or(Identity::Unchecked, |expected| expected.identity);
        while let Some(mut conn) = self.take_idle(endpoint, identity, policy).await {
            match conn.send(request, identity).await {
                Outcome::Unsent(returned) => {
                    request = returned;
                    policy.on_closed();
                }
                outcome => return self.finish(endpoint, conn, outcome, expected.as_ref()),
            }
        }
        let mut conn = Box::pin(self.open_admitted(endpoint, identity, policy)).await?;
        let outcome = conn.send(request, identity).await;
        self.finish(endpoint, conn, outcome, expected.as_ref())
    }

    /// Opens a connection and keeps it as an idle one.
    ///
    /// # Errors
    /// The connection was refused, or was not opened within [`ClientLimits::connect`].
    pub async fn connect(&self, endpoint: Endpoint) -> io::Result<()> {
        let conn = self.open(endpoint.address).await?;
        self.inner.pool.put(endpoint, conn);
        Ok(())
    }

    /// Closes the idle connections whose time is over. To be called now and then.
    pub fn prune(&self) {
        self.inner.pool.prune();
    }

    /// Closes the idle connections to an address. To be called if a request there got no answer: the other connections may
    /// be silent as well, although the peer still acknowledges what is sent on them.
    pub fn close_idle(&self, address: SocketAddr) {
        self.inner.pool.remove(address);
    }

    /// Number of connections that were opened.
    pub fn opened(&self) -> u64 {
        self.inner.opened.load(Ordering::Relaxed)
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.inner.pool.len()
    }

    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<Conn> {
        let limits = &self.inner.limits;
        let number = self.inner.opened.fetch_add(1, Ordering::Relaxed) + 1;
        let open = Conn::open(&self.inner.executor, address, number, *limits);
        let timer = async {
            async_io::Timer::after(limits.connect).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        future::or(open, timer).await
    }

    fn finish(
        &self,
        endpoint: Endpoint,
        mut conn: Conn,
        outcome: Outcome,
        expected: Option<&ExpectedId<'_>>,
    ) -> Result<Response<Body>, SendError> {
        if let (Outcome::Head(response), Some(expected)) = (&outcome, expected) {
            expected.log_response(endpoint.address, &conn, response);
        }
        match outcome {
            Outcome::Head(response) => {
                if let Some(expected) = expected
                    && !expected.accepts(response.headers(), &mut conn.carried)
                {
                    return Err(SendError::Unmatched);
                }
                // The connection is dropped: what follows such a head is not known, as after a switch of protocols.
                if !is_final(response.status()) {
                    return Err(SendError::NoFinalStatus(response.status()));
                }
                let (mut head, incoming) = response.into_parts();
                let age_ms = conn.opened_at.elapsed().as_millis();
                head.extensions.insert(ConnectionInfo {
                    is_validated: conn.is_validated,
                    age: Millis(u64::try_from(age_ms).unwrap_or(u64::MAX)),
                });
                conn.kept = kept(&head.headers).or(conn.kept);
                // A server that passes a response of HTTP/1.0 on would end its body with the connection, also where it broke off.
                head.version = Version::HTTP_11;
                let mut body = PooledBody {
                    incoming,
                    endpoint,
                    lease: Some((conn, Arc::clone(&self.inner))),
                };
                if body.incoming.is_end_stream() {
                    body.give_back();
                }
                Ok(Response::from_parts(head, streamed(body)))
            }
            Outcome::Unsent(_) => Err(SendError::Connect(io::ErrorKind::NotConnected.into())),
            Outcome::UnsentSpent(error) => Err(SendError::NotSent(error)),
            Outcome::Broken(error) => Err(SendError::Broken(error)),
        }
    }
}

/// Whether a status is that of a final response. HTTP defines none above 599, and nobody asks for a switch of protocols.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The idle time-out that `Keep-Alive` states.
pub(crate) fn kept(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let parts = value
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let mut timeouts = parts.filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let secs = timeouts.next()?.1.trim().parse().ok()?;
    Some(Duration::from_secs(secs))
}

fn set_host(request: &mut Request<Body>, address: SocketAddr) {
    if !request.headers().contains_key(HOST)
        && let Ok(value) = HeaderValue::from_str(&address.to_string())
    {
        request.headers_mut().insert(HOST, value);
    }
}

/// A response body that returns its connection to the pool at its end.
struct PooledBody {
    incoming: Incoming,
    endpoint: Endpoint,
    lease: Option<(Conn, Arc<Inner>)>,
}

impl PooledBody {
    fn give_back(&mut self) {
        if let Some((conn, inner)) = self.lease.take() {
            inner.pool.put(self.endpoint, conn);
        }
    }
}

impl hyper::body::Body for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        match frame {
            Poll::Ready(None) => self.give_back(),
            Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => self.give_back(),
            Poll::Ready(Some(Err(_))) => self.lease = None,
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
