//! Answers to calls from other daemons.

use std::sync::{Arc, Weak};

use waxwing_core::{BorrowReply, BorrowRequest, PullReply, PullRequest, RenewReply, RenewRequest};
use waxwing_peer::{PeerHandler, Peers};

use super::{TaskContext, config_sync};
use crate::state::Shared;

/// Answers pulls, and requests to borrow or renew quota, from the shared state.
pub(crate) struct PeerRequestHandler {
    shared: Arc<Shared>,
    /// Peers to call as a consequence of a pull. Weak, because the peer node owns this handler.
    peers: std::sync::OnceLock<Weak<dyn Peers>>,
}

impl PeerRequestHandler {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            peers: std::sync::OnceLock::new(),
        }
    }

    /// Sets the peers to call as a consequence of a pull. Until then, pulls are answered without such
    /// calls.
    pub(crate) fn set_peers(&self, peers: &Arc<dyn Peers>) {
        // Cannot fail: called only once, at start.
        let _ = self.peers.set(Arc::downgrade(peers));
    }
}

impl PeerHandler for PeerRequestHandler {
    fn on_pull(&self, request: PullRequest) -> PullReply {
        let (reply, actions) = config_sync::on_pull_request(&self.shared, &request);
        if let Some(peers) = self.peers.get().and_then(Weak::upgrade) {
            let shared = Arc::clone(&self.shared);
            config_sync::spawn_actions(&TaskContext { shared, peers }, actions);
        }
        reply
    }

    fn on_borrow(&self, request: BorrowRequest) -> BorrowReply {
        let mut rate_limiter = self.shared.rate_limiter();
        rate_limiter.on_borrow_request(self.shared.now(), &request)
    }

    fn on_renew(&self, request: RenewRequest) -> RenewReply {
        let mut rate_limiter = self.shared.rate_limiter();
        rate_limiter.on_renew_request(self.shared.now(), &request)
    }
}
