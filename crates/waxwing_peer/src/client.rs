//! Connections to other daemons, one for each address, opened when a call needs one.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use async_net::TcpStream;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures_lite::FutureExt;
use futures_util::future::{FutureExt as _, LocalBoxFuture, Shared};
use futures_util::io::{AsyncReadExt, BufReader, BufWriter};

use crate::command::Command;
use crate::stream::{Counted, idle};
use crate::task::Spawner;
use crate::{PeerError, PeerSettings, WireCounts, peer_capnp};

/// Time that opening a connection may take, whatever the deadline of the calls that wait for it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// An open connection.
struct Link {
    client: peer_capnp::peer::Client,
    /// Bytes received so far.
    received: Rc<Cell<u64>>,
    calls: Cell<usize>,
    /// Closing this channel ends the connection.
    end: Sender<()>,
}

type Opening = Shared<LocalBoxFuture<'static, Result<Rc<Link>, PeerError>>>;

/// A connection that is open or being opened.
struct Entry {
    number: u64,
    used: Cell<Instant>,
    opening: Opening,
}

pub(crate) struct Links {
    settings: PeerSettings,
    spawner: Spawner,
    counts: Arc<WireCounts>,
    entries: RefCell<HashMap<SocketAddr, Entry>>,
    next: Cell<u64>,
}

impl Links {
    pub(crate) fn new(settings: PeerSettings, spawner: Spawner, counts: Arc<WireCounts>) -> Self {
        Self {
            settings,
            spawner,
            counts,
            entries: RefCell::default(),
            next: Cell::new(0),
        }
    }

    /// Makes a call and delivers its reply or failure.
    pub(crate) async fn call(self: Rc<Self>, command: Command) {
        let (number, opening) = self.entry(command.to);
        let reached = Cell::new(None);
        let work = async {
            let link = opening.await?;
            reached.set(Some((Rc::clone(&link), link.received.get())));
            link.calls.set(link.calls.get() + 1);
            let outcome = command.call.run(&link.client).await;
            link.calls.set(link.calls.get() - 1);
            outcome
        };
        let late = async {
            Timer::at(command.deadline).await;
            Err(PeerError::TimedOut)
        };
        let Err(error) = work.or(late).await else {
            return;
        };
        match (&error, reached.take()) {
            // A connection that brings nothing during a call may have lost its other end.
            (PeerError::TimedOut, Some((link, before))) => {
                link.calls.set(link.calls.get().saturating_sub(1));
                if link.received.get() == before {
                    self.forget(command.to, number);
                }
            }
            (PeerError::TimedOut | PeerError::Rejected(_) | PeerError::Stopped, _) => {}
            (PeerError::Unreachable(_) | PeerError::Broken(_), _) => {
                self.forget(command.to, number);
            }
        }
        command.call.fail(error);
    }

    fn entry(self: &Rc<Self>, to: SocketAddr) -> (u64, Opening) {
        if let Some(entry) = self.entries.borrow().get(&to) {
            entry.used.set(Instant::now());
            return (entry.number, entry.opening.clone());
        }
        self.make_room();
        let number = self.next.get();
        self.next.set(number + 1);
        let opening: LocalBoxFuture<'static, _> = Box::pin(Rc::clone(self).open(to, number));
        let opening = opening.shared();
        // Goes on if the call that needs the connection gives up.
        let task = opening.clone();
        self.spawner.spawn(async move { drop(task.await) });
        let entry = Entry {
            number,
            used: Cell::new(Instant::now()),
            opening: opening.clone(),
        };
        self.entries.borrow_mut().insert(to, entry);
        (number, opening)
    }

    /// Closes the connection that was used least recently, if there are too many.
    fn make_room(&self) {
        if self.entries.borrow().len() < self.settings.max_opened {
            return;
        }
        let oldest = {
            let entries = self.entries.borrow();
            let unused = entries.iter().filter(|(_, e)| e.calls() == 0);
            let oldest = unused.min_by_key(|(_, e)| e.used.get());
            oldest.map(|(to, entry)| (*to, entry.number))
        };
        if let Some((to, number)) = oldest {
            self.forget(to, number);
        }
    }

    /// Closes a connection, so that the next call opens another.
    fn forget(&self, to: SocketAddr, number: u64) {
        let mut entries = self.entries.borrow_mut();
        if entries.get(&to).is_none_or(|e| e.number != number) {
            return;
        }
        let entry = entries.remove(&to);
        drop(entries);
        if let Some(Ok(link)) = entry.as_ref().and_then(|e| e.opening.peek()) {
            link.end.close();
        }
    }

    async fn open(self: Rc<Self>, to: SocketAddr, number: u64) -> Result<Rc<Link>, PeerError> {
        let late = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let opened = TcpStream::connect(to).or(late).await;
        let stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                self.forget(to, number);
                return Err(PeerError::Unreachable(error.to_string()));
            }
        };
        self.counts.note_opened();
        let stream = Counted::new(stream, Arc::clone(&self.counts));
        let received = stream.received();
        let mut system = system(stream, &self.settings, Side::Client, None);
        let client = system.bootstrap(Side::Server);
        let (end, ended) = async_channel::bounded(1);
        let quiet = Rc::clone(&received);
        let task = Rc::clone(&self).drive(system, quiet, ended, (to, number));
        self.spawner.spawn(task);
        Ok(Rc::new(Link {
            client,
            received,
            calls: Cell::new(0),
            end,
        }))
    }

    /// Runs a connection until it breaks, is idle or is to end.
    async fn drive(
        self: Rc<Self>,
        system: RpcSystem<Side>,
        received: Rc<Cell<u64>>,
        ended: Receiver<()>,
        (to, number): (SocketAddr, u64),
    ) {
        let system = async {
            if let Err(error) = system.await {
                log::debug!("connection to peer {to}: {error}");
            }
        };
        let quiet = idle(received, self.settings.idle_span());
        let end = async {
            // Nothing is sent; the channel is closed.
            let _ = ended.recv().await;
        };
        // A message that the library does not expect must not end the other connections.
        let work = AssertUnwindSafe(system.or(quiet).or(end));
        if FutureExt::catch_unwind(work).await.is_err() {
            log::error!("the connection to peer {to} panicked");
        }
        self.forget(to, number);
    }
}

impl Entry {
    fn calls(&self) -> usize {
        match self.opening.peek() {
            Some(Ok(link)) => link.calls.get(),
            Some(Err(_)) => 0,
            // A call waits for it.
            None => 1,
        }
    }
}

/// The RPC system of one connection.
pub(crate) fn system(
    stream: Counted,
    settings: &PeerSettings,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (reader, writer) = stream.split();
    let (reader, writer) = (BufReader::new(reader), BufWriter::new(writer));
    let options = settings.reader_options();
    let network = twoparty::VatNetwork::new(reader, writer, side, options);
    let mut system = RpcSystem::new(Box::new(network), bootstrap);
    system.set_background_error_handler(|error| log::debug!("peer connection: {error}"));
    system
}
