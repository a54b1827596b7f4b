//! The body of a request of a caller: buffered, or passed on while it arrives. Either way it names its request.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};
use waxwing_edge::NameHasher;
use waxwing_http::{Body, BodyError, streamed};

use super::body::{BufferedBody, buffer_body};
use super::request_names::RequestNames;
use super::state::{Shared, lock};

/// Number of buffered bytes of a body above which the request is sent. A request with a fully buffered body can be
/// sent to another target after a failure, and occupies no slot of a target during a slow upload.
pub(super) const REQUEST_BUFFER_BYTES: usize = 1 << 20;
/// [`REQUEST_BUFFER_BYTES`] for a body that begins like one that crashed a target.
const SUSPECT_BUFFER_BYTES: usize = 8 << 20;

/// Where the attempts to send a request get its body from.
enum Source {
    Buffered(BufferedBody<Body>),
    /// Passed on while it arrives.
    Streamed {
        /// `None` once an attempt has begun to read the body.
        unread: Arc<Mutex<Option<Body>>>,
        size_hint: SizeHint,
        /// Has the head of the request.
        hasher: Box<NameHasher>,
    },
}

/// The body of one request, and the names that follow from it.
pub(crate) struct RequestBody {
    source: Source,
    names: RequestNames,
    /// Number of bytes that are buffered from the start of the body.
    prefix_bytes: usize,
}

impl RequestBody {
    /// Buffers a body and names its request. A body of more than [`REQUEST_BUFFER_BYTES`] is buffered in whole only if one that
    /// begins alike has crashed a target, and if there is room for it: no target then gets any of a quarantined request.
    ///
    /// # Errors
    /// Reading the body failed.
    pub(crate) async fn read(
        shared: &Shared,
        body: Incoming,
        hasher: NameHasher,
        max_bytes: usize,
    ) -> Result<Self, BodyError> {
        let budget = &shared.body_budget;
        let buffered = buffer_body(body, REQUEST_BUFFER_BYTES, budget).await?;
        let mut buffered = buffered.erased();
        let is_long = buffered.rest.is_some();
        if is_long {
            let names = RequestNames::of_start(hasher.clone(), &buffered.prefix);
            let has_crashed = |name| shared.quarantine().has_crashed(name);
            if !names.partial().is_some_and(has_crashed) {
                return Ok(Self::streamed(buffered, names, hasher));
            }
            let max_bytes = max_bytes.min(SUSPECT_BUFFER_BYTES);
            let whole = buffer_body(buffered.take_body(), max_bytes, budget).await?;
            buffered = whole.erased();
            if buffered.rest.is_some() {
                return Ok(Self::streamed(buffered, names, hasher));
            }
        }
        Ok(Self {
            names: RequestNames::of_whole(hasher, &buffered.prefix, is_long),
            prefix_bytes: buffered.prefix.len(),
            source: Source::Buffered(buffered),
        })
    }

    fn streamed(mut body: BufferedBody<Body>, names: RequestNames, hasher: NameHasher) -> Self {
        let prefix_bytes = body.prefix.len();
        let body = body.take_body();
        Self {
            source: Source::Streamed {
                size_hint: body.size_hint(),
                unread: Arc::new(Mutex::new(Some(body))),
                hasher: Box::new(hasher),
            },
            names,
            prefix_bytes,
        }
    }

    pub(crate) fn names(&self) -> &RequestNames {
        &self.names
    }

    pub(crate) fn prefix_bytes(&self) -> usize {
        self.prefix_bytes
    }

    /// Whether the body was read to its end before the request is sent.
    pub(crate) fn is_buffered(&self) -> bool {
        matches!(self.source, Source::Buffered(_))
    }

    /// Whether another attempt can send the body.
    pub(crate) fn is_replayable(&self) -> bool {
        match &self.source {
            Source::Buffered(_) => true,
            Source::Streamed { unread, .. } => lock(unread).is_some(),
        }
    }

    /// The body for an attempt.
    pub(crate) fn attempt_body(&mut self, shared: &Arc<Shared>) -> Body {
        match &mut self.source {
            Source::Buffered(body) => body.take_body(),
            Source::Streamed {
                unread,
                size_hint,
                hasher,
            } => streamed(NamedBody {
                unread: Arc::clone(unread),
                size_hint: *size_hint,
                body: None,
                hasher: hasher.clone(),
                names: self.names.clone(),
                shared: Arc::clone(shared),
                is_ended: false,
            }),
        }
    }
}

/// A body that names its request when it has arrived. The last frame of the body of a quarantined request, or its end if the
/// length was not known, is withheld, so that no target gets the whole request.
struct NamedBody {
    unread: Arc<Mutex<Option<Body>>>,
    /// Of the whole body.
    size_hint: SizeHint,
    /// Taken from `unread` by the first read.
    body: Option<Body>,
    hasher: Box<NameHasher>,
    names: RequestNames,
    shared: Arc<Shared>,
    is_ended: bool,
}

impl HttpBody for NamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if this.body.is_none() {
            this.body = lock(&this.unread).take();
        }
        let Some(body) = &mut this.body else {
            return Poll::Ready(Some(Err("another attempt has read the body".into())));
        };
        let frame = ready!(Pin::new(&mut *body).poll_frame(cx)?);
        if let Some(data) = frame.as_ref().and_then(Frame::data_ref) {
            this.hasher.update(data);
        }
        if !this.is_ended && (frame.is_none() || body.is_end_stream()) {
            this.is_ended = true;
            this.names.end_body(&this.shared, &this.hasher)?;
        }
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.as_ref().map(HttpBody::size_hint);
        body.unwrap_or(self.size_hint)
    }
}
