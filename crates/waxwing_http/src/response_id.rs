//! By what the response to a request is recognized.

use std::hash::RandomState;
use std::net::SocketAddr;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Response};

use crate::carried::{CarriedRequests, IdHash, Identity, ids};
use crate::conn::Conn;

/// How the response to a request is recognized.
#[derive(Clone, Copy, Debug)]
pub struct ResponseId<'a> {
    /// Header with the id of the request, which the other side returns.
    pub header: &'a HeaderName,
    /// Whether the other side always returns it.
    pub returned: Returned,
}

/// Whether the other side returns the ids of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returned {
    /// With every response. One without an id is not used.
    Always,
    /// Perhaps not. Without it, only the first response on a connection is used.
    MayLack,
}

/// The id of a request that awaits its response.
pub(crate) struct ExpectedId<'a> {
    id: ResponseId<'a>,
    values: Vec<HeaderValue>,
    pub(crate) identity: Identity,
}

impl<'a> ExpectedId<'a> {
    pub(crate) fn new(id: ResponseId<'a>, request: &HeaderMap, hasher: &RandomState) -> Self {
        let identity = match (IdHash::of(hasher, request, id.header), id.returned) {
            (None, _) => Identity::First,
            (Some(hash), Returned::MayLack) => Identity::IdOrFirst(hash),
            (Some(hash), Returned::Always) => Identity::Id(hash),
        };
        Self {
            id,
            values: request.get_all(id.header).iter().cloned().collect(),
            identity,
        }
    }

    /// Whether a response is the one to the request. `carried` includes the request.
    pub(crate) fn accepts(&self, response: &HeaderMap, carried: &mut CarriedRequests) -> bool {
        let is_sent = |id: &[u8]| self.values.iter().any(|value| value.as_bytes() == id);
        let mut returned = ids(response, self.id.header).peekable();
        if returned.peek().is_none() {
            carried.record_missing_id();
            // The first response on a connection cannot be a copy.
            let is_first = carried.count() == 1;
            return is_first && (self.id.returned == Returned::MayLack || !self.has_id());
        }
        // Other ids beside that of the request leave open which request the response belongs to.
        returned.all(is_sent)
    }

    fn has_id(&self) -> bool {
        self.values.iter().any(|value| !value.is_empty())
    }

    /// Logs which connection a response arrived on.
    pub(crate) fn log_response<B>(&self, address: SocketAddr, conn: &Conn, response: &Response<B>) {
        log::debug!(
            address:% = address, connection = conn.number, requests = conn.carried.count(),
            request_id:? = self.values, returned_id:? = response.headers().get(self.id.header),
            status = response.status().as_u16();
            "response received"
        );
    }
}
