//! The traits at the border of the crate.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use waxwing_core::{BorrowReply, BorrowRequest, PullReply, PullRequest, RenewReply, RenewRequest};
use waxwing_types::Millis;

use crate::PeerError;

/// The future of a call, boxed so that [`Peers`] can be a trait object.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, PeerError>> + Send + 'a>>;

/// Calls to other daemons.
///
/// The timeout covers a call from end to end, a new connection included. No call is repeated.
/// Dropping a future gives the reply up; the peer may handle the call nevertheless.
pub trait Peers: Send + Sync {
    /// Asks for what changed.
    fn pull(&self, to: SocketAddr, request: PullRequest, timeout: Millis)
    -> Pending<'_, PullReply>;

    /// Asks the owner of shards to lend.
    fn borrow(
        &self,
        to: SocketAddr,
        request: BorrowRequest,
        timeout: Millis,
    ) -> Pending<'_, BorrowReply>;

    /// Asks the standby to renew shard leases.
    fn renew(
        &self,
        to: SocketAddr,
        request: RenewRequest,
        timeout: Millis,
    ) -> Pending<'_, RenewReply>;
}

/// Answers calls of other daemons, on the thread that holds all connections: it must not block
/// longer than for the tables' locks.
pub trait PeerHandler: Send + Sync {
    /// Answers a pull.
    fn on_pull(&self, request: PullRequest) -> PullReply;
    /// Answers a borrower.
    fn on_borrow(&self, request: BorrowRequest) -> BorrowReply;
    /// Answers an owner.
    fn on_renew(&self, request: RenewRequest) -> RenewReply;
}
