//! The requests that a connection has carried.

use std::hash::{BuildHasher, Hasher};

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Requests with an id that one connection carries before it is replaced. Bounds the ids that are remembered.
const MAX_IDS: usize = 128;
/// Most bytes that a connection holds for the ids of the requests that it has carried.
pub const MAX_IDS_BYTES: usize = MAX_IDS * size_of::<IdHash>();

/// The ids in the headers of a request or response. An empty value names none.
pub(crate) fn ids<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a [u8]> {
    let values = headers.get_all(name).into_iter().map(HeaderValue::as_bytes);
    values.filter(|id| !id.is_empty())
}

/// By what the response to a request is told from copies of earlier responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Identity {
    /// Nothing; the response is taken as it comes.
    Unchecked,
    /// Its place as the first one on its connection.
    First,
    /// Its id.
    Id(IdHash),
    /// Its id if the other side has returned the ids of all requests on the connection, otherwise its place.
    IdOrFirst(IdHash),
}

/// The id of a request as a hash. A collision only keeps a request from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdHash(u64);

impl IdHash {
    /// Hashes the id in the headers, `None` without a single id.
    pub(crate) fn of(
        hasher: &impl BuildHasher,
        headers: &HeaderMap,
        name: &HeaderName,
    ) -> Option<Self> {
        let mut ids = ids(headers, name);
        let id = ids.next().filter(|_| ids.next().is_none())?;
        let mut state = hasher.build_hasher();
        state.write(id);
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
    /// Whether a response had no id.
    lacked_id: bool,
}

impl CarriedRequests {
    /// Number of requests, with or without an id.
    pub(crate) const fn count(&self) -> u64 {
        self.count
    }

    /// Whether the response to a further request can be told from copies of earlier responses.
    pub(crate) fn allows(&self, identity: Identity) -> bool {
        let is_new = |id| !self.is_full() && !self.ids.contains(&id);
        match identity {
            Identity::Unchecked => true,
            Identity::First => self.count == 0,
            Identity::Id(id) => is_new(id),
            Identity::IdOrFirst(id) => self.count == 0 || !self.lacked_id && is_new(id),
        }
    }

    /// Whether no further ids are remembered.
    pub(crate) const fn is_full(&self) -> bool {
        self.ids.len() >= MAX_IDS
    }

    pub(crate) fn record(&mut self, identity: Identity) {
        self.count += 1;
        if let Identity::Id(id) | Identity::IdOrFirst(id) = identity {
            self.ids.push(id);
        }
    }

    /// Records that a response had no id.
    pub(crate) fn record_missing_id(&mut self) {
        self.lacked_id = true;
    }
}
