//! Answers to calls of other daemons.

use std::sync::{Arc, Weak};

use waxwing_core::{BorrowReply, BorrowRequest, PullReply, PullRequest, RenewReply, RenewRequest};
use waxwing_peer::{PeerHandler, Peers};

use super::{Context, pull};
use crate::state::Shared;

/// Answers pulls, loans and renewals from the tables.
pub(crate) struct Answers {
    shared: Arc<Shared>,
    /// Calls that a pull sets off. Weak, because the node of these calls holds this handler.
    peers: std::sync::OnceLock<Weak<dyn Peers>>,
}

impl Answers {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            peers: std::sync::OnceLock::new(),
        }
    }

    /// Sets the peers to which a pull may lead. Until then pulls are answered and lead to nothing.
    pub(crate) fn set_peers(&self, peers: &Arc<dyn Peers>) {
        // Set once, at start.
        let _ = self.peers.set(Arc::downgrade(peers));
    }
}

impl PeerHandler for Answers {
    fn on_pull(&self, request: PullRequest) -> PullReply {
        let (reply, actions) = pull::answer(&self.shared, &request);
        if let Some(peers) = self.peers.get().and_then(Weak::upgrade) {
            let shared = Arc::clone(&self.shared);
            pull::perform_all(&Context { shared, peers }, actions);
        }
        reply
    }

    fn on_borrow(&self, request: BorrowRequest) -> BorrowReply {
        let mut ledger = self.shared.rate_limiter();
        ledger.on_borrow_request(self.shared.now(), &request)
    }

    fn on_renew(&self, request: RenewRequest) -> RenewReply {
        let mut ledger = self.shared.rate_limiter();
        ledger.on_renew_request(self.shared.now(), &request)
    }
}
