//! Bodies that are buffered in memory up to a limit; the rest of a longer body is streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};
use waxwing_http::{Body, BodyError, full, streamed};

/// The buffered beginning of a body, and its unread rest if it is longer than the limit.
pub(crate) struct BufferedBody<B> {
    pub(crate) prefix: Bytes,
    pub(crate) rest: Option<B>,
}

/// Buffers a body until it ends or more than `max_bytes` are buffered.
///
/// # Errors
/// The body ended prematurely.
pub(crate) async fn buffer_body<B>(
    mut body: B,
    max_bytes: usize,
) -> Result<BufferedBody<B>, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    if body.is_end_stream() {
        return Ok(BufferedBody {
            prefix: Bytes::new(),
            rest: None,
        });
    }
    // A body of one chunk is returned without a copy.
    let mut single_chunk: Option<Bytes> = None;
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Into::into)?.into_data() else {
            continue;
        };
        match single_chunk.take() {
            None if buffer.is_empty() => single_chunk = Some(data),
            None => buffer.extend_from_slice(&data),
            Some(first_chunk) => {
                buffer.extend_from_slice(&first_chunk);
                buffer.extend_from_slice(&data);
            }
        }
        let buffered = buffer.len() + single_chunk.as_ref().map_or(0, Bytes::len);
        if buffered > max_bytes {
            return Ok(BufferedBody {
                prefix: single_chunk.unwrap_or_else(|| buffer.into()),
                rest: Some(body),
            });
        }
    }
    Ok(BufferedBody {
        prefix: single_chunk.unwrap_or_else(|| buffer.into()),
        rest: None,
    })
}

impl<B> BufferedBody<B>
where
    B: HttpBody<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<BodyError>,
{
    /// Returns the body for one send. A body with a `rest` is complete only for the first call.
    pub(crate) fn take_body(&mut self) -> Body {
        match self.rest.take() {
            None => full(self.prefix.clone()),
            Some(rest) => streamed(PrefixedBody {
                prefix: Some(self.prefix.clone()),
                rest,
            }),
        }
    }
}

/// A body that yields a buffered prefix before the frames of another body.
struct PrefixedBody<B> {
    prefix: Option<Bytes>,
    rest: B,
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
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(cx);
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}
