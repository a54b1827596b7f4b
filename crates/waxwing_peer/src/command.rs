//! Calls on their way to the thread that holds the connections.

use std::net::SocketAddr;
use std::time::Instant;

use async_channel::Sender;
use waxwing_core::{BorrowReply, BorrowRequest, PullReply, PullRequest, RenewReply, RenewRequest};

use crate::{PeerError, peer_capnp, read, write};

pub(crate) struct Command {
    pub(crate) to: SocketAddr,
    pub(crate) deadline: Instant,
    pub(crate) call: Call,
}

/// A call and where its result goes.
pub(crate) enum Call {
    Pull(PullRequest, Sender<Result<PullReply, PeerError>>),
    Borrow(BorrowRequest, Sender<Result<BorrowReply, PeerError>>),
    Renew(RenewRequest, Sender<Result<RenewReply, PeerError>>),
}

impl Call {
    /// Makes the call and delivers its reply.
    pub(crate) async fn run(&self, client: &peer_capnp::peer::Client) -> Result<(), PeerError> {
        match self {
            Self::Pull(message, result) => {
                let mut request = client.pull_request();
                write::pull_request(request.get(), message);
                let response = request.send().promise.await?;
                deliver(result, read::pull_reply(response.get()?)?);
            }
            Self::Borrow(message, result) => {
                let mut request = client.borrow_request();
                write::borrow_request(request.get(), message);
                let response = request.send().promise.await?;
                deliver(result, read::borrow_reply(response.get()?, message)?);
            }
            Self::Renew(message, result) => {
                let mut request = client.renew_request();
                write::renew_request(request.get(), message);
                let response = request.send().promise.await?;
                deliver(result, read::renew_reply(response.get()?)?);
            }
        }
        Ok(())
    }

    /// Delivers a failure.
    pub(crate) fn fail(&self, error: PeerError) {
        // The caller may have given up.
        let _ = match self {
            Self::Pull(_, result) => result.try_send(Err(error)).is_ok(),
            Self::Borrow(_, result) => result.try_send(Err(error)).is_ok(),
            Self::Renew(_, result) => result.try_send(Err(error)).is_ok(),
        };
    }
}

fn deliver<T>(result: &Sender<Result<T, PeerError>>, reply: T) {
    // The caller may have given up.
    let _ = result.try_send(Ok(reply));
}
