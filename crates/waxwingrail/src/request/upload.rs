//! Streams a request body to a target and buffers its start, so that a short body can be sent again
//! on a retry.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use hyper::body::{Body as _, Bytes, Frame, Incoming, SizeHint};
use waxwing_http::{Body, BodyError, streamed};
use waxwing_types::RefusalReason;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of body bytes that are buffered for retries. A longer body cannot be sent again
/// after its first bytes above this limit have been read.
const MAX_REPLAY_BYTES: usize = 64 * 1024;
/// Number of leading body bytes that are read before the request is admitted. VMs recognize a quarantined request, one that
/// crashed targets before, by the hash of its body, so that one with a short body is refused before it is sent.
const START_BYTES: usize = 4096;

/// Why a request body cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UploadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller's connection failed before the end of the body.
    Disconnected,
    /// The request is quarantined. The end of its body is not sent.
    Quarantined,
}

impl UploadError {
    /// Why the request is refused.
    pub(crate) const fn refusal(self) -> (RefusalReason, &'static str) {
        match self {
            Self::TooLarge => (RefusalReason::TooLarge, "the body exceeds the limit"),
            Self::Disconnected => (RefusalReason::BadRequest, "the body broke off"),
            Self::Quarantined => (RefusalReason::Quarantined, "it crashed targets"),
        }
    }
}

/// Tells whether the request is quarantined if its body has a hash.
pub(crate) type QuarantineCheck = Box<dyn Fn(u64) -> bool + Send>;

/// The state that all clones of an [`Upload`] share.
struct UploadState {
    source: Incoming,
    /// Frames buffered for retries. Empty once `buffer_dropped` is set.
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    /// Whether the body outgrew the buffer and the buffer was dropped. The body cannot be sent again.
    buffer_dropped: bool,
    /// Whether `source` has no more frames.
    ended: bool,
    /// Hashes the bytes received. All VMs must compute the same value, because they share the fingerprints of quarantined
    /// requests.
    hasher: Xxh3,
    /// Set as long as the quarantine has not been checked for a body that was sent before its end arrived.
    end_check: Option<QuarantineCheck>,
    /// Bytes received from the caller, over all attempts.
    received: u64,
    /// Maximum length of the body in bytes.
    max_bytes: u64,
    error: Option<UploadError>,
    /// Number of the current attempt, the only one that may read.
    current_attempt: u64,
    /// Bytes that the current attempt has read.
    attempt_bytes_read: u64,
}

/// The body of one request. All clones read the same body.
#[derive(Clone)]
pub(crate) struct Upload {
    state: Arc<Mutex<UploadState>>,
}

impl Upload {
    pub(crate) fn new(source: Incoming, max_bytes: u64) -> Self {
        let ended = source.is_end_stream();
        Self {
            state: Arc::new(Mutex::new(UploadState {
                source,
                buffered: Vec::new(),
                buffered_bytes: 0,
                buffer_dropped: false,
                ended,
                hasher: Xxh3::new(),
                end_check: None,
                received: 0,
                max_bytes,
                error: None,
                current_attempt: 0,
                attempt_bytes_read: 0,
            })),
        }
    }

    /// Reads the start of the body from the caller.
    pub(crate) async fn read_start(&self) -> Result<(), UploadError> {
        std::future::poll_fn(|cx| {
            let mut state = self.lock();
            while !state.ended && state.buffered_bytes < START_BYTES {
                if let Some(Err(error)) = ready!(state.poll_source(cx)) {
                    return Poll::Ready(Err(error));
                }
            }
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Starts the next attempt and returns its body. `None` if the start of the body is no longer
    /// buffered. Any further read by the previous attempt fails. If the body has not ended, `end_check` decides whether its end
    /// is sent.
    pub(crate) fn next_attempt(&self, end_check: QuarantineCheck) -> Option<Body> {
        let mut state = self.lock();
        if state.buffer_dropped {
            return None;
        }
        state.end_check = (!state.ended).then_some(end_check);
        state.current_attempt += 1;
        state.attempt_bytes_read = 0;
        Some(streamed(AttemptBody {
            number: state.current_attempt,
            next_frame: 0,
            upload: self.clone(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, UploadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Upload {
    /// The error that ended the body, if any.
    pub(crate) fn error(&self) -> Option<UploadError> {
        self.lock().error
    }

    /// Whether the body was read to its end.
    pub(crate) fn has_ended(&self) -> bool {
        self.lock().ended
    }

    /// The hash of the body, `None` until it was read to its end.
    pub(crate) fn body_hash(&self) -> Option<u64> {
        let state = self.lock();
        state.ended.then(|| state.hasher.digest())
    }

    /// Whether the buffer was dropped. If so, the body cannot be sent again.
    pub(crate) fn is_buffer_dropped(&self) -> bool {
        self.lock().buffer_dropped
    }

    /// Number of bytes that the current attempt has read.
    pub(crate) fn attempt_bytes_read(&self) -> u64 {
        self.lock().attempt_bytes_read
    }
}

impl UploadState {
    /// Reads the next data frame from the caller and buffers it.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        if let Some(error) = self.error {
            return Poll::Ready(Some(Err(error)));
        }
        loop {
            let data = match ready!(Pin::new(&mut self.source).poll_frame(cx)) {
                None => {
                    self.ended = true;
                    return Poll::Ready(self.check_end().err().map(Err));
                }
                Some(Err(_)) => {
                    return Poll::Ready(Some(Err(self.fail(UploadError::Disconnected))));
                }
                // Trailers are not forwarded.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            self.received += data.len() as u64;
            if self.received > self.max_bytes {
                return Poll::Ready(Some(Err(self.fail(UploadError::TooLarge))));
            }
            self.hasher.update(&data);
            self.ended = self.source.is_end_stream();
            self.buffer(&data);
            if self.ended {
                self.check_end()?;
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    /// Fails the body at its end if the request is quarantined.
    fn check_end(&mut self) -> Result<(), UploadError> {
        let hash = self.hasher.digest();
        let check = self.end_check.take();
        if check.is_some_and(|is_quarantined| is_quarantined(hash)) {
            return Err(self.fail(UploadError::Quarantined));
        }
        Ok(())
    }

    /// Stores an error, which all later reads return.
    fn fail(&mut self, error: UploadError) -> UploadError {
        self.error = Some(error);
        error
    }

    /// Buffers a frame for retries. Drops the buffer if the body exceeds its capacity. The frames of the start are
    /// kept in any case, since they are read before the first attempt: they may exceed the capacity by one frame.
    fn buffer(&mut self, data: &Bytes) {
        if self.buffer_dropped {
            return;
        }
        let has_start = self.buffered_bytes >= START_BYTES;
        if has_start && self.buffered_bytes + data.len() > MAX_REPLAY_BYTES {
            self.buffer_dropped = true;
            self.buffered = Vec::new();
            return;
        }
        self.buffered_bytes += data.len();
        self.buffered.push(data.clone());
    }
}

/// The request body as one attempt reads it: first the buffered frames, then those still to come
/// from the caller.
struct AttemptBody {
    /// Number of this attempt, compared with `UploadState::current_attempt` on each read.
    number: u64,
    /// Index of the next buffered frame.
    next_frame: usize,
    upload: Upload,
}

impl hyper::body::Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let upload = self.upload.clone();
        let mut state = upload.lock();
        if state.current_attempt != self.number {
            return Poll::Ready(Some(Err(body_error("a newer attempt replaced this one"))));
        }
        let data = match state.buffered.get(self.next_frame) {
            Some(buffered) => buffered.clone(),
            None if state.ended => return Poll::Ready(None),
            None => match ready!(state.poll_source(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => {
                    let (_, detail) = error.refusal();
                    return Poll::Ready(Some(Err(body_error(detail))));
                }
                Some(Ok(data)) => data,
            },
        };
        self.next_frame += 1;
        state.attempt_bytes_read += data.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.upload.lock();
        state.ended
            && self.next_frame >= state.buffered.len()
            && state.attempt_bytes_read == state.received
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.upload.lock();
        if self.next_frame == 0 && state.received == 0 {
            return state.source.size_hint();
        }
        SizeHint::default()
    }
}

fn body_error(message: &'static str) -> BodyError {
    io::Error::other(message).into()
}
