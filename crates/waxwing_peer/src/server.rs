//! Connections from other daemons.

use std::cell::Cell;
use std::future::ready;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_lite::FutureExt;

use crate::client::system;
use crate::peer_capnp::peer;
use crate::stream::{Counted, idle};
use crate::task::Spawner;
use crate::{PeerHandler, PeerSettings, WireCounts, read, write};

/// Pause after a failed accept, which usually means that the process has no file handle left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The caller closes a connection that is idle. This end waits longer, so that it does not close
/// one that is about to be used, and closes those whose other end was lost.
const IDLE_FACTOR: u32 = 2;

pub(crate) struct Server {
    settings: PeerSettings,
    handler: Arc<dyn PeerHandler>,
    spawner: Spawner,
    counts: Arc<WireCounts>,
    sessions: Rc<Cell<usize>>,
}

impl Server {
    pub(crate) fn new(
        settings: PeerSettings,
        handler: Arc<dyn PeerHandler>,
        spawner: Spawner,
        counts: Arc<WireCounts>,
    ) -> Self {
        Self {
            settings,
            handler,
            spawner,
            counts,
            sessions: Rc::default(),
        }
    }

    pub(crate) async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.sessions.get() < self.settings.max_accepted => {
                    self.counts.note_accepted();
                    self.spawner.spawn(self.session(stream));
                }
                Ok(_) => self.counts.note_refused(),
                Err(error) => {
                    log::warn!("accepting a peer connection: {error}");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn session(&self, stream: TcpStream) -> impl Future<Output = ()> + 'static {
        let stream = Counted::new(stream, Arc::clone(&self.counts));
        let received = stream.received();
        let gate = Gate(Arc::clone(&self.handler));
        let client: peer::Client = capnp_rpc::new_client(gate);
        let system = system(stream, &self.settings, Side::Server, Some(client.client));
        let quiet = idle(received, self.settings.idle_span() * IDLE_FACTOR);
        let sessions = Rc::clone(&self.sessions);
        sessions.set(sessions.get() + 1);
        async move {
            let work = async {
                if let Err(error) = system.await {
                    log::debug!("connection from a peer: {error}");
                }
            };
            // A message that the library does not expect must not end the other connections.
            let work = AssertUnwindSafe(work.or(quiet)).catch_unwind();
            if work.await.is_err() {
                log::error!("a connection from a peer panicked");
            }
            sessions.set(sessions.get() - 1);
        }
    }
}

/// What a connection offers to the other end.
struct Gate(Arc<dyn PeerHandler>);

impl Gate {
    fn answer_pull(
        &self,
        params: &peer::PullParams,
        results: &mut peer::PullResults,
    ) -> capnp::Result<()> {
        let request = read::pull_request(params.get()?)?;
        write::pull_reply(results.get(), &self.0.on_pull(request));
        Ok(())
    }

    fn answer_borrow(
        &self,
        params: &peer::BorrowParams,
        results: &mut peer::BorrowResults,
    ) -> capnp::Result<()> {
        let request = read::borrow_request(params.get()?)?;
        let reply = self.0.on_borrow(request.clone());
        write::borrow_reply(results.get(), &reply, &request);
        Ok(())
    }

    fn answer_renew(
        &self,
        params: &peer::RenewParams,
        results: &mut peer::RenewResults,
    ) -> capnp::Result<()> {
        let request = read::renew_request(params.get()?)?;
        write::renew_reply(results.get(), &self.0.on_renew(request));
        Ok(())
    }
}

impl peer::Server for Gate {
    fn pull(
        self: Rc<Self>,
        params: peer::PullParams,
        mut results: peer::PullResults,
    ) -> impl Future<Output = capnp::Result<()>> + 'static {
        ready(self.answer_pull(&params, &mut results))
    }

    fn borrow(
        self: Rc<Self>,
        params: peer::BorrowParams,
        mut results: peer::BorrowResults,
    ) -> impl Future<Output = capnp::Result<()>> + 'static {
        ready(self.answer_borrow(&params, &mut results))
    }

    fn renew(
        self: Rc<Self>,
        params: peer::RenewParams,
        mut results: peer::RenewResults,
    ) -> impl Future<Output = capnp::Result<()>> + 'static {
        ready(self.answer_renew(&params, &mut results))
    }
}
