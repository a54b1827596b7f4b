//! The requests that a connection has carried.

use std::hash::{BuildHasher, Hasher};

use hyper::HeaderMap;
use hyper::header::HeaderName;

/// Requests with an id that one connection carries before it is replaced. Bounds the ids that are remembered.
#[allow(dead_code)]
pub(crate) const MAX_IDENTIFIED_REQUESTS: usize = 128;

/// The id of a request as a hash. A collision only keeps a request from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdHash(u64);

impl IdHash {
    /// Hashes the values of the id header, `None` without one.
    pub(crate) fn of(
        hasher: &impl BuildHasher,
        headers: &HeaderMap,
        name: &HeaderName,
    ) -> Option<Self> {
        let mut values = headers.get_all(name).iter().peekable();
        values.peek()?;
        let mut state = hasher.build_hasher();
        for value in values {
            state.write(value.as_bytes());
            state.write_u8(b'\n');
        }
        Some(Self(state.finish()))
    }
}

/// The requests that a connection has carried.
///
/// A target may write an answer more than once, so that a copy arrives where the answer to a later request is due. The id
/// in an answer identifies its request only if the connection carried that id once.
#[derive(Debug, Default)]
pub(crate) struct CarriedRequests {
    ids: Vec<IdHash>,
    count: u64,
}

impl CarriedRequests {
    /// Number of requests, with or without an id.
    pub(crate) const fn count(&self) -> u64 {
        self.count
    }

    pub(crate) fn contains(&self, id: IdHash) -> bool {
        self.ids.contains(&id)
    }

    pub(crate) fn record(&mut self, id: Option<IdHash>) {
        self.count += 1;
        self.ids.extend(id);
    }
}
