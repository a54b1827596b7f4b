//! The names by which the quarantine recognizes the copies of a request. The name of a request whose body is passed on while it
//! arrives is known at the end of the body.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use waxwing_edge::{NameHasher, RequestName};
use waxwing_http::BodyError;

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

    /// Names the request at the end of a body that was passed on while it arrived.
    ///
    /// # Errors
    /// The request is quarantined, so that the end must be withheld.
    pub(super) fn end_body(&self, shared: &Shared, hasher: &NameHasher) -> Result<(), BodyError> {
        self.arrival.whole.get_or_init(|| hasher.whole());
        if crash::must_refuse(shared, self) {
            self.arrival.is_withheld.store(true, Ordering::Relaxed);
            return Err("the request is quarantined".into());
        }
        Ok(())
    }
}
