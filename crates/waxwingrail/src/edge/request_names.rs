//! The names by which the quarantine recognizes the copies of a request. The name of a request whose body is passed on while it
//! arrives is known at the end of the body.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};

use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};
use waxwing_edge::{NameHasher, RequestName};
use waxwing_http::{Body, BodyError, streamed};

use super::crash;
use super::state::Shared;

/// What becomes known of a request whose body is passed on while it arrives.
#[derive(Default)]
struct Arrival {
    whole: OnceLock<RequestName>,
    /// Whether the end of the body was not passed on, because the request is quarantined.
    is_withheld: AtomicBool,
}

/// The names of one request.
#[derive(Clone)]
pub(crate) struct RequestNames {
    /// The name that the request shares with others, if its body is longer than this VM buffers.
    partial: Option<RequestName>,
    arrival: Arc<Arrival>,
}

impl RequestNames {
    /// The names of a request whose body has arrived. `hasher` has the head of the request.
    pub(crate) fn of_whole(mut hasher: NameHasher, body: &[u8], is_long: bool) -> Self {
        hasher.update(body);
        Self {
            partial: hasher.partial().filter(|_| is_long),
            arrival: Arc::new(Arrival {
                whole: hasher.whole().into(),
                is_withheld: AtomicBool::default(),
            }),
        }
    }

    /// The names of a request of which only the start of the body has arrived. `hasher` has the head of the request.
    pub(crate) fn of_start(mut hasher: NameHasher, start: &[u8]) -> Self {
        hasher.update(start);
        Self {
            partial: hasher.partial(),
            arrival: Arc::default(),
        }
    }

    /// The name of the whole request, `None` until its body has arrived.
    pub(crate) fn whole(&self) -> Option<RequestName> {
        self.arrival.whole.get().copied()
    }

    /// The name that the request shares with others whose bodies begin alike, `None` for one that is buffered as usual.
    pub(crate) fn partial(&self) -> Option<RequestName> {
        self.partial
    }

    /// The names by which a crash of its target is recorded.
    pub(crate) fn at_crash(&self) -> Vec<RequestName> {
        self.whole().into_iter().chain(self.partial).collect()
    }

    /// Whether the end of the body was not passed on, because the request is quarantined.
    pub(crate) fn is_withheld(&self) -> bool {
        self.arrival.is_withheld.load(Ordering::Relaxed)
    }

    /// Wraps a body that is passed on while it arrives. `hasher` has the head of the request.
    pub(crate) fn name_body(&self, shared: &Arc<Shared>, hasher: NameHasher, body: Body) -> Body {
        streamed(NamedBody {
            inner: body,
            hasher,
            names: self.clone(),
            shared: Arc::clone(shared),
            is_ended: false,
        })
    }
}

/// A body that names its request when it has arrived. The last frame of the body of a quarantined request, or its end if the
/// length was not known, is withheld, so that no target gets the whole request.
struct NamedBody {
    inner: Body,
    hasher: NameHasher,
    names: RequestNames,
    shared: Arc<Shared>,
    is_ended: bool,
}

impl NamedBody {
    /// Names the request at the end of its body.
    ///
    /// # Errors
    /// The request is quarantined.
    fn end(&mut self) -> Result<(), BodyError> {
        if std::mem::replace(&mut self.is_ended, true) {
            return Ok(());
        }
        let arrival = &self.names.arrival;
        arrival.whole.get_or_init(|| self.hasher.whole());
        if crash::must_refuse(&self.shared, &self.names) {
            arrival.is_withheld.store(true, Ordering::Relaxed);
            return Err("the request is quarantined".into());
        }
        Ok(())
    }
}

impl HttpBody for NamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let frame = match ready!(Pin::new(&mut this.inner).poll_frame(cx)) {
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            Some(Ok(frame)) => Some(frame),
            None => None,
        };
        if let Some(data) = frame.as_ref().and_then(Frame::data_ref) {
            this.hasher.update(data);
        }
        let has_ended = frame.is_none() || this.inner.is_end_stream();
        if has_ended && let Err(error) = this.end() {
            return Poll::Ready(Some(Err(error)));
        }
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
