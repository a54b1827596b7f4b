//! Which process a connection leads to, and whether it may carry requests.
//!
//! Answers a fault of the peer: a process that ends and starts again at its address. A connection that is open leads to the
//! process that accepted it, whatever has started there since; a new connection leads to whichever process listens now.

use hyper::{Request, Response};
use waxwing_types::Millis;

use crate::Body;

/// What may be done with a connection that is not validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The connection is validated.
    Validate,
    /// The connection carries this request, and stays as it is.
    UseOnce,
    /// The connection does not carry this request.
    Withdraw,
}

/// How it is decided what may be done with a connection that is not validated.
#[derive(Debug)]
pub enum Admission {
    /// At once.
    Decided(Verdict),
    /// By the response to this request. Only a connection that has carried nothing can be asked: the response need not have an
    /// id, and is recognized by its place.
    Ask(Box<Request<Body>>),
}

/// Decides which connections carry a request. Validated connections carry any request until they are closed.
pub trait ConnectionPolicy: Sync {
    /// Whether the request may go on an idle connection that is not validated, without [`Self::admit`].
    fn allows_unvalidated(&self) -> bool {
        false
    }

    /// Decides on a connection that is not validated. Called once it is open, which may take as long as
    /// [`ClientLimits::connect`](crate::ClientLimits::connect).
    fn admit(&self) -> Admission;

    /// Decides by the head of the response to [`Admission::Ask`].
    fn judge(&self, response: &Response<()>) -> Verdict;

    /// Called if an idle connection takes no request. Mostly the peer has closed it.
    fn on_closed(&self) {}
}

/// Uses all connections.
#[derive(Clone, Copy, Debug)]
pub struct AnyConnection;

impl ConnectionPolicy for AnyConnection {
    fn admit(&self) -> Admission {
        Admission::Decided(Verdict::Validate)
    }

    fn judge(&self, _response: &Response<()>) -> Verdict {
        Verdict::Validate
    }
}

/// The connection on which a response arrived, an extension of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// Whether the connection was validated when the request was sent.
    pub is_validated: bool,
    /// Time since the connection was opened.
    pub age: Millis,
}
