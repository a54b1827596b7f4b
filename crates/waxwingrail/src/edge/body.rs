//! Bodies that are held in memory up to a bound and streamed beyond it.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};
use waxwing_http::{Body, BodyError, full, streamed};

/// The beginning of a body, and the rest if it is longer than the bound.
pub(crate) struct Gathered<B> {
    pub(crate) start: Bytes,
    pub(crate) rest: Option<B>,
}

/// Reads a body until it ends or more than `bound` bytes are held.
///
/// # Errors
/// The body broke off.
pub(crate) async fn gather<B>(mut body: B, bound: usize) -> Result<Gathered<B>, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    if body.is_end_stream() {
        return Ok(Gathered {
            start: Bytes::new(),
            rest: None,
        });
    }
    let mut only: Option<Bytes> = None;
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Into::into)?.into_data() else {
            continue;
        };
        match only.take() {
            None if whole.is_empty() => only = Some(data),
            None => whole.extend_from_slice(&data),
            Some(first) => {
                whole.extend_from_slice(&first);
                whole.extend_from_slice(&data);
            }
        }
        let held = whole.len() + only.as_ref().map_or(0, Bytes::len);
        if held > bound {
            return Ok(Gathered {
                start: only.unwrap_or_else(|| whole.into()),
                rest: Some(body),
            });
        }
    }
    Ok(Gathered {
        start: only.unwrap_or_else(|| whole.into()),
        rest: None,
    })
}

impl<B> Gathered<B>
where
    B: HttpBody<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<BodyError>,
{
    /// The body to send. The rest can be sent once.
    pub(crate) fn take(&mut self) -> Body {
        match self.rest.take() {
            None => full(self.start.clone()),
            Some(rest) => streamed(Joined {
                start: Some(self.start.clone()),
                rest,
            }),
        }
    }
}

struct Joined<B> {
    start: Option<Bytes>,
    rest: B,
}

impl<B> HttpBody for Joined<B>
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
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(cx);
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.start.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + start);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + start);
        }
        hint
    }
}
