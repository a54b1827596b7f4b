//! The thread that holds all connections to other daemons.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Context;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use waxwing_core::{BorrowReply, BorrowRequest, PullReply, PullRequest, RenewReply, RenewRequest};
use waxwing_types::{Millis, common_derives};

use crate::client::Links;
use crate::command::{Call, Command};
use crate::server::Server;
use crate::task::{LocalTask, Spawner};
use crate::{PeerError, PeerHandler, Peers, Pending, WireCounts};

/// Calls that wait for the thread; beyond that, callers wait.
const QUEUE: usize = 1024;

common_derives! {
    copy
    /// Limits on the connections of a node.
    pub struct PeerSettings {
        /// Greatest size of a message in bytes. A page of records takes up to a megabyte.
        pub max_message: usize,
        /// Most connections that other daemons may hold.
        pub max_accepted: usize,
        /// Most connections to other daemons.
        pub max_opened: usize,
        /// Time without a call after which a connection is closed. Two VMs of a domain of 34 meet
        /// every 44 s, partners in 32 domains every 124 s on average, and opening a connection
        /// costs more than a pull.
        pub idle: Millis,
    }
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            max_message: 2 << 20,
            max_accepted: 1024,
            max_opened: 1024,
            idle: Millis::from_secs(300),
        }
    }
}

impl PeerSettings {
    /// Limits on what is read. A message that exceeds them ends the connection.
    pub(crate) fn reader_options(&self) -> capnp::message::ReaderOptions {
        let words = self.max_message.div_ceil(8);
        let mut options = capnp::message::ReaderOptions::new();
        options.traversal_limit_in_words(Some(words));
        options
    }

    pub(crate) fn idle_span(&self) -> Duration {
        self.idle.duration()
    }
}

/// The node of one daemon in the protocol between daemons.
#[derive(Debug)]
pub struct PeerNode {
    commands: Sender<Command>,
    counts: Arc<WireCounts>,
    local: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl PeerNode {
    /// Listens at an address and starts the thread.
    ///
    /// # Errors
    /// If the address cannot be bound or the thread cannot be started.
    pub fn start(
        address: SocketAddr,
        settings: PeerSettings,
        handler: Arc<dyn PeerHandler>,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address)
            .with_context(|| format!("listening for peers at {address}"))?;
        let local = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let (commands, received) = async_channel::bounded(QUEUE);
        let counts = Arc::new(WireCounts::default());
        let shared = Arc::clone(&counts);
        let body = move || run(listener, settings, handler, &received, &shared);
        let thread = std::thread::Builder::new().name("peers".into());
        let thread = thread.spawn(body).context("starting the peer thread")?;
        Ok(Self {
            commands,
            counts,
            local,
            thread: Some(thread),
        })
    }

    /// The address at which the node listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// What the node sent and received.
    pub fn counts(&self) -> &WireCounts {
        &self.counts
    }

    fn call<T: Send + 'static>(
        &self,
        to: SocketAddr,
        timeout: Millis,
        call: impl FnOnce(Sender<Result<T, PeerError>>) -> Call,
    ) -> Pending<'_, T> {
        let (result, reply) = async_channel::bounded(1);
        let command = Command {
            to,
            deadline: Instant::now() + timeout.duration(),
            call: call(result),
        };
        Box::pin(async move {
            let sent = self.commands.send(command).await;
            sent.map_err(|_| PeerError::Stopped)?;
            reply.recv().await.unwrap_or(Err(PeerError::Stopped))
        })
    }
}

impl Peers for PeerNode {
    fn pull(
        &self,
        to: SocketAddr,
        request: PullRequest,
        timeout: Millis,
    ) -> Pending<'_, PullReply> {
        self.call(to, timeout, |result| Call::Pull(request, result))
    }

    fn borrow(
        &self,
        to: SocketAddr,
        request: BorrowRequest,
        timeout: Millis,
    ) -> Pending<'_, BorrowReply> {
        self.call(to, timeout, |result| Call::Borrow(request, result))
    }

    fn renew(
        &self,
        to: SocketAddr,
        request: RenewRequest,
        timeout: Millis,
    ) -> Pending<'_, RenewReply> {
        self.call(to, timeout, |result| Call::Renew(request, result))
    }
}

impl Drop for PeerNode {
    /// Ends the thread, which closes all connections and the listening socket.
    fn drop(&mut self) {
        self.commands.close();
        let ended = self.thread.take().map(JoinHandle::join);
        if ended.is_some_and(|e| e.is_err()) {
            log::error!("the peer thread panicked");
        }
    }
}

fn run(
    listener: Async<TcpListener>,
    settings: PeerSettings,
    handler: Arc<dyn PeerHandler>,
    commands: &Receiver<Command>,
    counts: &Arc<WireCounts>,
) {
    let executor = LocalExecutor::new();
    let (spawner, tasks) = Spawner::new();
    let server = Server::new(settings, handler, spawner.clone(), Arc::clone(counts));
    spawner.spawn(server.accept(listener.into()));
    let links = Rc::new(Links::new(settings, spawner, Arc::clone(counts)));
    let work = executor.run(dispatch(&executor, commands, &tasks, &links));
    async_io::block_on(work);
}

/// Starts tasks and calls until the node is dropped.
async fn dispatch(
    executor: &LocalExecutor<'_>,
    commands: &Receiver<Command>,
    tasks: &Receiver<LocalTask>,
    links: &Rc<Links>,
) {
    enum Next {
        Call(Command),
        Task(LocalTask),
    }
    loop {
        let call = async { commands.recv().await.map(Next::Call) };
        let task = async { tasks.recv().await.map(Next::Task) };
        match call.race(task).await {
            Ok(Next::Call(command)) => {
                let links = Rc::clone(links);
                executor
                    .spawn(async move { links.call(command).await })
                    .detach();
            }
            Ok(Next::Task(task)) => executor.spawn(task).detach(),
            Err(_) => return,
        }
    }
}
