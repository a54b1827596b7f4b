//! Stand-in until waxwing_peer lands.
use std::net::SocketAddr;
use std::pin::Pin;
use waxwing_core::*;
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = anyhow::Result<T>> + Send + 'a>>;
/// x
pub trait Peers: Send + Sync {
    /// x
    fn pull(&self, to: SocketAddr, request: PullRequest) -> Pending<'_, PullReply>;
    /// x
    fn borrow(&self, to: SocketAddr, request: BorrowRequest) -> Pending<'_, BorrowReply>;
    /// x
    fn renew(&self, to: SocketAddr, request: RenewRequest) -> Pending<'_, RenewReply>;
}
/// x
pub struct NoPeers;
impl Peers for NoPeers {
    fn pull(&self, _: SocketAddr, _: PullRequest) -> Pending<'_, PullReply> {
        Box::pin(async { anyhow::bail!("none") })
    }
    fn borrow(&self, _: SocketAddr, _: BorrowRequest) -> Pending<'_, BorrowReply> {
        Box::pin(async { anyhow::bail!("none") })
    }
    fn renew(&self, _: SocketAddr, _: RenewRequest) -> Pending<'_, RenewReply> {
        Box::pin(async { anyhow::bail!("none") })
    }
}
