//! Why a call to a peer has no reply.

use std::fmt;

use waxwing_types::common_derives;

common_derives! {
    /// Why a call to a peer has no reply. Only [`PeerError::Unreachable`] says that the peer did
    /// not handle the call.
    pub enum PeerError {
        /// No connection could be opened.
        Unreachable(String),
        /// The deadline passed.
        TimedOut,
        /// The connection broke during the call.
        Broken(String),
        /// The peer answered with an error, or with something that cannot be read.
        Rejected(String),
        /// The own node was stopped.
        Stopped,
    }
}

impl PeerError {
    /// The kind of failure as metrics and logs show it.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::TimedOut => "timed_out",
            Self::Broken(_) => "broken",
            Self::Rejected(_) => "rejected",
            Self::Stopped => "stopped",
        }
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "no connection: {cause}"),
            Self::TimedOut => f.write_str("no reply before the deadline"),
            Self::Broken(cause) => write!(f, "connection lost: {cause}"),
            Self::Rejected(cause) => write!(f, "error from the peer: {cause}"),
            Self::Stopped => f.write_str("the node was stopped"),
        }
    }
}

impl std::error::Error for PeerError {}

impl From<capnp::Error> for PeerError {
    fn from(error: capnp::Error) -> Self {
        match error.kind {
            capnp::ErrorKind::Disconnected => Self::Broken(error.extra),
            _ => Self::Rejected(error.to_string()),
        }
    }
}
