//! The time that is left to a stopping process, and which requests still fit into it.

#[cfg(test)]
mod tests;

use std::sync::OnceLock;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use waxwing_types::{Millis, ServiceId};

use super::state::Shared;

/// Time after a stop signal during which connections are still accepted. A caller uses a directory
/// response for `directory_ttl`, 2 s by default. Only the next response no longer lists this VM.
const MAX_STOP_NOTICE: Millis = Millis(2500);
/// Part of `stop_timeout` that is reserved for the exit of the process.
const EXIT_MARGIN: Millis = Millis(400);
/// Time before the end of a stopping process at which each request has its response.
const RESPONSE_MARGIN: Millis = Millis(200);
/// Time before the end of a stopping process at which requests whose body still arrives are refused. After the response, the
/// server reads on for up to a second, so that the response reaches a caller that is still sending.
const READ_MARGIN: Millis = Millis(1200);
/// Longest work of a target on a request that is expected, as a multiple of the mean latency without a queue.
const MAX_WORK_RATIO: u64 = 3;

/// Times of a planned stop, counted from the stop signal.
#[derive(Clone, Copy)]
pub(crate) struct StopTimes {
    /// Time during which connections are still accepted.
    pub(crate) notice: Millis,
    /// Time until the process ends, whether or not all requests have finished.
    pub(crate) end: Millis,
}

impl StopTimes {
    /// The times for `stop_timeout`, from the stop signal to the forced end of the process.
    pub(crate) fn new(stop_timeout: Millis) -> Self {
        let end = stop_timeout - EXIT_MARGIN.min(Millis(stop_timeout.0 / 4));
        Self {
            notice: MAX_STOP_NOTICE.min(Millis(end.0 / 2)),
            end,
        }
    }
}

/// Whether and when the process began to stop.
pub(crate) struct StopState {
    /// Time at which the process ends.
    ends_at: OnceLock<Millis>,
    /// Closed when the stop begins.
    begun: (Sender<()>, Receiver<()>),
}

impl StopState {
    pub(crate) fn new() -> Self {
        Self {
            ends_at: OnceLock::new(),
            begun: async_channel::bounded(1),
        }
    }

    pub(crate) fn begin(&self, ends_at: Millis) {
        self.ends_at.get_or_init(|| ends_at);
        self.begun.0.close();
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.ends_at.get().is_some()
    }

    /// Time by which a request must have its response, so that it reaches the caller before the process ends.
    pub(crate) fn last_response_at(&self) -> Millis {
        let ends_at = self.ends_at.get();
        ends_at.map_or(Millis::MAX, |ends_at| *ends_at - RESPONSE_MARGIN)
    }
}

/// Whether a target can be expected to finish a request before this process ends. `is_body_read` tells whether the whole body
/// has arrived: otherwise, nothing is known of the time that the request takes.
pub(crate) fn has_time_for_request(
    shared: &Shared,
    service: &ServiceId,
    deadline: Millis,
    is_body_read: bool,
) -> bool {
    if !shared.stop.has_begun() {
        return true;
    }
    let latency = if is_body_read {
        shared.targets().unloaded_latency(service)
    } else {
        None
    };
    let longest = latency.map_or(Millis::MAX, |latency| Millis(latency.0 * MAX_WORK_RATIO));
    let now = shared.now();
    (now + longest).min(deadline) <= shared.stop.last_response_at()
}

/// Ends when a stopping process must refuse the requests whose body still arrives.
pub(crate) async fn must_end_reading(shared: &Shared) {
    let _ = shared.stop.begun.1.recv().await;
    if let Some(ends_at) = shared.stop.ends_at.get().copied() {
        let left = (ends_at - READ_MARGIN).since(shared.now());
        Timer::after(left.duration()).await;
    }
}
