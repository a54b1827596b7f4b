//! One client connection and the task that drives it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_executor::{Executor, Task};
use async_net::TcpStream;
use futures_lite::future;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, body::Incoming};
use smol_hyper::rt::FuturesIo;

use crate::Body;
use crate::ClientLimits;
use crate::carried::{CarriedRequests, Identity};
use crate::counted::Counted;
use crate::socket::tune;

/// Time allowed for a pooled connection to become ready for its next request. It is ready at once
/// unless the target answered before it had read the whole request.
const READY_WAIT: Duration = Duration::from_millis(2);

/// What became of a request on a connection.
pub(crate) enum Outcome {
    /// The head of the response arrived.
    Head(Response<Incoming>),
    /// No byte was written and the request is intact.
    Unsent(Request<Body>),
    /// No byte was written, but the body may have been read from.
    UnsentSpent(hyper::Error),
    /// The connection broke after the first byte was written.
    Broken(hyper::Error),
}

/// A connection. Dropping it closes the socket.
pub(crate) struct Conn {
    /// Number of the connection in the order in which its client opened them.
    pub(crate) number: u64,
    pub(crate) address: SocketAddr,
    sender: SendRequest<Body>,
    pub(crate) carried: CarriedRequests,
    written: Arc<AtomicU64>,
    /// Time for which the target keeps the connection open while it is idle, if it said so.
    pub(crate) kept: Option<Duration>,
    /// Whether the connection is known to lead to the process that is meant.
    pub(crate) is_validated: bool,
    pub(crate) opened_at: Instant,
    _driver: Task<()>,
}

impl Conn {
    pub(crate) async fn open(
        executor: &Executor<'static>,
        address: SocketAddr,
        number: u64,
        limits: ClientLimits,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        tune(&stream)?;
        let written = Arc::new(AtomicU64::new(0));
        let io = FuturesIo::new(Counted::new(stream, Arc::clone(&written)));
        let (sender, conn) = http1::Builder::new()
            .max_header_size(limits.header_bytes)
            // Bounds what a fast sender may fill while nobody takes its body.
            .max_buf_size(limits.buffer_bytes())
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let driver = executor.spawn(async move {
            if let Err(error) = conn.await {
                log::debug!(error = error.to_string().as_str(); "client connection ended");
            }
        });
        Ok(Self {
            number,
            address,
            sender,
            carried: CarriedRequests::default(),
            written,
            kept: None,
            is_validated: false,
            opened_at: Instant::now(),
            _driver: driver,
        })
    }

    /// Whether the connection is known to be closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection takes another request, waiting briefly for the previous one to end.
    pub(crate) async fn is_usable(&mut self) -> bool {
        if self.sender.is_closed() {
            return false;
        }
        let ready = async { self.sender.ready().await.is_ok() };
        let timer = async {
            async_io::Timer::after(READY_WAIT).await;
            false
        };
        future::or(ready, timer).await
    }

    pub(crate) async fn send(&mut self, request: Request<Body>, identity: Identity) -> Outcome {
        let before = self.written.load(Ordering::Relaxed);
        self.carried.record(identity);
        match self.sender.try_send_request(request).await {
            Ok(response) => Outcome::Head(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Outcome::Unsent(request),
                None if self.written.load(Ordering::Relaxed) == before => {
                    Outcome::UnsentSpent(error.into_error())
                }
                None => Outcome::Broken(error.into_error()),
            },
        }
    }
}
