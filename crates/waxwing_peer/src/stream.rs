//! A TCP stream that counts its bytes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_util::io::{AsyncRead, AsyncWrite};

/// Payload of a TCP segment on Ethernet with the usual options.
const SEGMENT: u64 = 1448;

/// What a node sent and received over all its connections, for the metrics.
#[derive(Debug, Default)]
pub struct WireCounts {
    sent: AtomicU64,
    received: AtomicU64,
    segments: AtomicU64,
    opened: AtomicU64,
    accepted: AtomicU64,
    refused: AtomicU64,
}

impl WireCounts {
    /// Bytes of payload sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes of payload received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Segments sent, if each write makes as few as possible.
    pub fn segments(&self) -> u64 {
        self.segments.load(Ordering::Relaxed)
    }

    /// Connections opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Connections accepted.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Connections refused because there were too many.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    pub(crate) fn note_opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn note_accepted(&self) {
        self.accepted.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn note_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}

/// A stream that counts, and tells how much one connection received.
pub(crate) struct Counted {
    stream: TcpStream,
    received: Rc<Cell<u64>>,
    counts: Arc<WireCounts>,
}

impl Counted {
    /// Wraps a stream, which sends each message at once from then on.
    pub(crate) fn new(stream: TcpStream, counts: Arc<WireCounts>) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("peer connection keeps its delay: {error}");
        }
        Self {
            stream,
            received: Rc::default(),
            counts,
        }
    }

    /// The bytes that the connection received so far.
    pub(crate) fn received(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.received)
    }
}

/// Ends when a connection has received nothing for a span.
pub(crate) async fn idle(received: Rc<Cell<u64>>, span: Duration) {
    let mut before = received.get();
    loop {
        Timer::after(span).await;
        if received.get() == before {
            return;
        }
        before = received.get();
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if let Poll::Ready(Ok(count)) = polled {
            let count = count as u64;
            self.received.set(self.received.get() + count);
            self.counts.received.fetch_add(count, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = polled {
            let count = count as u64;
            self.counts.sent.fetch_add(count, Ordering::Relaxed);
            let segments = count.div_ceil(SEGMENT);
            self.counts.segments.fetch_add(segments, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
