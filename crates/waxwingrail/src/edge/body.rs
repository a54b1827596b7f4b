//! Bodies that are buffered in memory up to a threshold. The rest of a longer body is streamed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};
use waxwing_http::{Body, BodyError, CoarseSleep, full, streamed};

use super::memory::{BodyBudget, MAX_FRAME_BYTES, Reservation, SMALL_BODY_BYTES};

/// Bytes that a buffer of unknown length may take while it grows, as a multiple of its final length.
pub(super) const RESERVE_RATIO: usize = 2;
/// Bytes of a buffered body that are passed on at once, so that the HTTP library copies no more of a body that its receiver
/// does not read.
const PIECE_BYTES: usize = 16 * 1024;

/// A body that was buffered up to a threshold.
pub(crate) struct BufferedBody<B> {
    /// The buffered bytes from the start of the body.
    pub(crate) prefix: Bytes,
    /// The unread remainder. `None` if `prefix` is the whole body.
    pub(crate) rest: Option<B>,
    /// Room for `prefix` in the budget, `None` for a small one.
    reservation: Option<Arc<Reservation>>,
}

/// Buffers a body until it ends, more than `threshold_bytes` are buffered, or `budget` has no room for it. The chunk that
/// exceeds the threshold is buffered as a whole.
///
/// # Errors
/// Reading the body failed before its end and before the threshold was exceeded.
pub(crate) async fn buffer_body<B>(
    mut body: B,
    threshold_bytes: usize,
    budget: &Arc<BodyBudget>,
) -> Result<BufferedBody<B>, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    if body.is_end_stream() {
        return Ok(BufferedBody {
            prefix: Bytes::new(),
            rest: None,
            reservation: None,
        });
    }
    // A body of one chunk is returned without a copy.
    let mut single_chunk: Option<Bytes> = None;
    let mut buffer = Vec::new();
    let mut reservation = None;
    let mut rest = None;
    loop {
        let length = body.size_hint().exact();
        let Some(frame) = body.frame().await else {
            break;
        };
        let Ok(data) = frame.map_err(Into::into)?.into_data() else {
            continue;
        };
        let buffered_bytes = buffer.len() + single_chunk.as_ref().map_or(0, Bytes::len);
        let total_bytes = buffered_bytes + data.len();
        if total_bytes > SMALL_BODY_BYTES && reservation.is_none() {
            let length = length.and_then(|left| usize::try_from(left).ok());
            let expected_bytes = match length {
                Some(left) => threshold_bytes.min(buffered_bytes + left) + MAX_FRAME_BYTES,
                None => threshold_bytes * RESERVE_RATIO + MAX_FRAME_BYTES,
            };
            reservation = budget.reserve(expected_bytes);
            if reservation.is_some() && length.is_some() {
                buffer.reserve_exact(expected_bytes);
            }
        }
        match single_chunk.take() {
            None if buffer.is_empty() => single_chunk = Some(data),
            None => buffer.extend_from_slice(&data),
            Some(first_chunk) => {
                buffer.extend_from_slice(&first_chunk);
                buffer.extend_from_slice(&data);
            }
        }
        let has_room = total_bytes <= SMALL_BODY_BYTES || reservation.is_some();
        if total_bytes > threshold_bytes || !has_room {
            rest = Some(body);
            break;
        }
    }
    let prefix = single_chunk.unwrap_or_else(|| {
        buffer.shrink_to_fit();
        buffer.into()
    });
    if let Some(reservation) = &mut reservation {
        reservation.shrink_to(prefix.len().max(MAX_FRAME_BYTES));
    }
    Ok(BufferedBody {
        prefix,
        rest,
        reservation: reservation.map(Arc::new),
    })
}

impl<B> BufferedBody<B>
where
    B: HttpBody<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    /// Erases the type of the unread remainder.
    pub(crate) fn erased(self) -> BufferedBody<Body> {
        BufferedBody {
            prefix: self.prefix,
            rest: self.rest.map(streamed),
            reservation: self.reservation,
        }
    }
}

impl<B> BufferedBody<B>
where
    B: HttpBody<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<BodyError>,
{
    /// Returns the body to send, and takes `rest` out of this value. If `rest` was `Some`, later calls return a
    /// truncated body, only `prefix`. The caller must then not send the request or response again.
    pub(crate) fn take_body(&mut self) -> Body {
        let rest = self.rest.take();
        if rest.is_none() && self.prefix.len() <= PIECE_BYTES {
            return full(self.prefix.clone());
        }
        streamed(PrefixedBody {
            prefix: self.prefix.clone(),
            rest,
            _reservation: self.reservation.clone(),
        })
    }
}

/// A body that yields a buffered prefix in pieces, then the frames of `rest`.
struct PrefixedBody<B> {
    /// What is left of the prefix.
    prefix: Bytes,
    rest: Option<B>,
    _reservation: Option<Arc<Reservation>>,
}

impl<B> HttpBody for PrefixedBody<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.prefix.is_empty() {
            let length = self.prefix.len().min(PIECE_BYTES);
            let piece = self.prefix.split_to(length);
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        let frame = Pin::new(rest).poll_frame(cx);
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = self.prefix.len() as u64;
        let Some(rest) = &self.rest else {
            return SizeHint::with_exact(prefix_bytes);
        };
        let rest_hint = rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest_hint.lower() + prefix_bytes);
        if let Some(upper) = rest_hint.upper() {
            hint.set_upper(upper + prefix_bytes);
        }
        hint
    }
}

/// What is told how a body ended. Nothing is told if the body is dropped before, or fails because its time is over.
pub(crate) trait BodyGuard {
    /// The body has ended, or has failed.
    fn on_end(&mut self, is_whole: bool);
}

/// A body that fails if it has not ended when a timer ends.
///
/// Bounds the time of a response that is passed on while it arrives. A faulty target may send bytes without end; the
/// caller of such a response gets a connection that breaks off, not a complete response.
pub(crate) struct TimedBody<G> {
    /// The body, and a guard that is dropped with it. `None` once the body has ended or failed. Dropping a body that has
    /// not ended closes the connection to the target.
    inner: Option<(Body, G)>,
    timer: CoarseSleep,
}

impl<G> TimedBody<G> {
    pub(crate) fn new(body: Body, timer: CoarseSleep, guard: G) -> Self {
        Self {
            inner: Some((body, guard)),
            timer,
        }
    }
}

impl<G: BodyGuard + Unpin> HttpBody for TimedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let Some((body, guard)) = &mut this.inner else {
            return Poll::Ready(None);
        };
        let frame = if Pin::new(&mut this.timer).poll(cx).is_ready() {
            let message = "the response has not ended in time";
            let error = io::Error::new(io::ErrorKind::TimedOut, message);
            Some(Err(error.into()))
        } else {
            let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
            match &frame {
                Some(Err(_)) => guard.on_end(false),
                // The end may not be asked for once the length is reached.
                Some(Ok(_)) if !body.is_end_stream() => {}
                Some(Ok(_)) | None => guard.on_end(true),
            }
            frame
        };
        if !matches!(frame, Some(Ok(_))) {
            this.inner = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let body = self.inner.as_ref().map(|(body, _)| body);
        body.is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.inner.as_ref().map(|(body, _)| body);
        body.map_or_else(SizeHint::default, HttpBody::size_hint)
    }
}
