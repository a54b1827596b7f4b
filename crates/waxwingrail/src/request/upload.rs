//! The caller's body, streamed to a target, with its beginning kept for a second attempt.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use hyper::body::{Body as _, Bytes, Frame, Incoming, SizeHint};
use waxwing_http::{Body, BodyError, streamed};

/// Bytes kept so that a request can be sent again. A longer body is sent once.
const REPLAY_BYTES: usize = 64 * 1024;
/// Bytes that the fingerprint of a request covers.
const HASHED_BYTES: usize = 4096;

/// Why the caller's body cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UploadFault {
    /// It exceeds the limit.
    TooLarge,
    /// The caller's connection broke.
    CallerBroke,
}

struct State {
    source: Incoming,
    /// The frames kept, empty once `spent`.
    kept: Vec<Bytes>,
    kept_bytes: usize,
    /// Whether the beginning is no longer held.
    spent: bool,
    ended: bool,
    received: u64,
    limit: u64,
    fault: Option<UploadFault>,
    /// Number of the attempt that may read.
    attempt: u64,
    /// Bytes handed to the present attempt.
    sent: u64,
}

/// The body of one request. Clones share it.
#[derive(Clone)]
pub(crate) struct Upload {
    state: Arc<Mutex<State>>,
}

impl Upload {
    pub(crate) fn new(source: Incoming, limit: u64) -> Self {
        let ended = source.is_end_stream();
        Self {
            state: Arc::new(Mutex::new(State {
                source,
                kept: Vec::new(),
                kept_bytes: 0,
                spent: false,
                ended,
                received: 0,
                limit,
                fault: None,
                attempt: 0,
                sent: 0,
            })),
        }
    }

    /// Reads the beginning and returns its hash, 0 for an empty body.
    pub(crate) async fn hash_beginning(&self) -> Result<u64, UploadFault> {
        std::future::poll_fn(|cx| {
            let mut state = self.lock();
            while !state.ended && state.kept_bytes < HASHED_BYTES {
                if let Some(Err(fault)) = ready!(state.pull(cx)) {
                    return Poll::Ready(Err(fault));
                }
            }
            Poll::Ready(Ok(state.hash()))
        })
        .await
    }

    /// The body for another attempt, unless its beginning is no longer held. Ends the former
    /// attempt's body.
    pub(crate) fn attempt(&self) -> Option<Body> {
        let mut state = self.lock();
        if state.spent {
            return None;
        }
        state.attempt += 1;
        state.sent = 0;
        Some(streamed(Attempt {
            number: state.attempt,
            next: 0,
            upload: self.clone(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Upload {
    /// Why the body cannot be passed on, if it cannot.
    pub(crate) fn fault(&self) -> Option<UploadFault> {
        self.lock().fault
    }

    /// Whether the beginning is no longer held, so that the body cannot be sent again.
    pub(crate) fn is_spent(&self) -> bool {
        self.lock().spent
    }

    /// Bytes handed to the present attempt.
    pub(crate) fn sent(&self) -> u64 {
        self.lock().sent
    }
}

impl State {
    /// Takes the next frame from the caller and keeps it while there is room.
    fn pull(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadFault>>> {
        if let Some(fault) = self.fault {
            return Poll::Ready(Some(Err(fault)));
        }
        loop {
            let data = match ready!(Pin::new(&mut self.source).poll_frame(cx)) {
                None => {
                    self.ended = true;
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.fail(UploadFault::CallerBroke)))),
                // Trailers are not relayed.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            self.received += data.len() as u64;
            if self.received > self.limit {
                return Poll::Ready(Some(Err(self.fail(UploadFault::TooLarge))));
            }
            self.ended = self.source.is_end_stream();
            self.keep(&data);
            return Poll::Ready(Some(Ok(data)));
        }
    }

    fn fail(&mut self, fault: UploadFault) -> UploadFault {
        self.fault = Some(fault);
        fault
    }

    fn keep(&mut self, data: &Bytes) {
        if self.spent {
            return;
        }
        if self.kept_bytes + data.len() > REPLAY_BYTES {
            self.spent = true;
            self.kept = Vec::new();
            return;
        }
        self.kept_bytes += data.len();
        self.kept.push(data.clone());
    }
}

impl State {
    /// FNV-1a over the beginning, the same on every VM.
    fn hash(&self) -> u64 {
        let bytes = self.kept.iter().flat_map(|frame| frame.iter());
        if self.received == 0 {
            return 0;
        }
        bytes
            .take(HASHED_BYTES)
            .fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
                (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
            })
    }
}

/// The body as one attempt reads it.
struct Attempt {
    number: u64,
    /// Index of the next kept frame.
    next: usize,
    upload: Upload,
}

impl hyper::body::Body for Attempt {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let upload = self.upload.clone();
        let mut state = upload.lock();
        if state.attempt != self.number {
            return Poll::Ready(Some(Err(failure("the attempt was given up"))));
        }
        let data = match state.kept.get(self.next) {
            Some(kept) => kept.clone(),
            None if state.ended => return Poll::Ready(None),
            None => match ready!(state.pull(cx)) {
                None => return Poll::Ready(None),
                Some(Err(UploadFault::TooLarge)) => {
                    return Poll::Ready(Some(Err(failure("the body is too large"))));
                }
                Some(Err(UploadFault::CallerBroke)) => {
                    return Poll::Ready(Some(Err(failure("the caller broke off"))));
                }
                Some(Ok(data)) => data,
            },
        };
        self.next += 1;
        state.sent += data.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        let state = self.upload.lock();
        state.ended && self.next >= state.kept.len() && state.sent == state.received
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.upload.lock();
        if self.next == 0 && state.received == 0 {
            return state.source.size_hint();
        }
        SizeHint::default()
    }
}

fn failure(text: &'static str) -> BodyError {
    io::Error::other(text).into()
}
