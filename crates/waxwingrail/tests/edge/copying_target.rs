//! A target that refuses requests and writes copies of its refusals.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::AsyncWriteExt;

use super::scripted::{header, read_request};

/// Time between a copy and the answer that follows it.
const COPY_PAUSE: Duration = Duration::from_millis(100);

/// Which requests a target refuses.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Refused {
    /// The first request with each id.
    FirstOfId,
    /// Requests for another target than this one.
    OtherThan(&'static str),
    /// Requests on the connection that was accepted first.
    OnFirstConnection,
    /// None.
    Nothing,
}

/// When a target writes copies of a refusal on the connection of the refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Copies {
    Never,
    /// Before the answer to a later request with the same id.
    BeforeSameId(usize),
    /// Before the answer to the next request.
    BeforeNext,
    /// Right after the refusal.
    AtOnce,
}

/// What a target does, and may be told to do otherwise.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conduct {
    /// Status line after `HTTP/1.1` and further fields of a refusal, with `\r\n` after each.
    pub(crate) refusal: &'static str,
    pub(crate) refused: Refused,
    pub(crate) copies: Copies,
}

#[derive(Default)]
struct Seen {
    /// Runs by id of the request; empty for requests without one.
    runs: HashMap<String, usize>,
    refusals: usize,
    connections: usize,
}

pub(crate) struct CopyingTarget {
    pub(crate) address: SocketAddr,
    conduct: Arc<Mutex<Conduct>>,
    seen: Arc<Mutex<Seen>>,
}

impl CopyingTarget {
    pub(crate) async fn start(executor: &Arc<Executor<'static>>, conduct: Conduct) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.expect("a listener");
        let target = Self {
            address: listener.local_addr().expect("an address"),
            conduct: Arc::new(Mutex::new(conduct)),
            seen: Arc::default(),
        };
        let (conduct, seen) = (Arc::clone(&target.conduct), Arc::clone(&target.seen));
        let spawner = Arc::clone(executor);
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = {
                    let mut seen = lock(&seen);
                    seen.connections += 1;
                    seen.connections
                };
                let serve = serve(stream, number, Arc::clone(&conduct), Arc::clone(&seen));
                spawner.spawn(serve).detach();
            }
        };
        executor.spawn(accept).detach();
        target
    }

    pub(crate) fn set_conduct(&self, conduct: Conduct) {
        *lock(&self.conduct) = conduct;
    }

    /// How often the target ran the request with an id.
    pub(crate) fn runs(&self, id: &str) -> usize {
        lock(&self.seen).runs.get(id).copied().unwrap_or_default()
    }

    /// Number of requests that were refused.
    pub(crate) fn refusals(&self) -> usize {
        lock(&self.seen).refusals
    }

    /// Number of connections that were accepted.
    pub(crate) fn connections(&self) -> usize {
        lock(&self.seen).connections
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    conduct: Arc<Mutex<Conduct>>,
    seen: Arc<Mutex<Seen>>,
) {
    let mut refusals = Refusals::default();
    while let Some(head) = read_request(&mut stream).await {
        let conduct = *lock(&conduct);
        let id = header(&head, "x-request-id").unwrap_or_default();
        let id_field = if id.is_empty() {
            String::new()
        } else {
            format!("x-request-id: {id}\r\n")
        };
        let is_refused = match conduct.refused {
            Refused::FirstOfId => lock(&seen).is_first_of(id),
            Refused::OtherThan(target) => header(&head, "x-target") != Some(target),
            Refused::OnFirstConnection => connection == 1,
            Refused::Nothing => false,
        };
        let bytes = if is_refused {
            lock(&seen).refusals += 1;
            let refusal = format!(
                "HTTP/1.1 {}{id_field}content-length: 0\r\n\r\n",
                conduct.refusal
            );
            refusals.push(id, &refusal);
            let count = if conduct.copies == Copies::AtOnce {
                2
            } else {
                1
            };
            refusal.repeat(count)
        } else {
            // The request is under way when the copies are written.
            *lock(&seen).runs.entry(id.to_owned()).or_default() += 1;
            let before_answer = refusals.take_due(conduct.copies, id);
            if !before_answer.is_empty() {
                if stream.write_all(before_answer.as_bytes()).await.is_err() {
                    return;
                }
                Timer::after(COPY_PAUSE).await;
            }
            format!("HTTP/1.1 200 OK\r\n{id_field}content-length: 2\r\n\r\nok")
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// The refusals of a connection, each with the id of its request.
#[derive(Default)]
struct Refusals(Vec<(String, String)>);

impl Refusals {
    fn push(&mut self, id: &str, refusal: &str) {
        self.0.push((id.to_owned(), refusal.to_owned()));
    }

    /// The copies that are due before the answer to a request. No refusal is copied a second time.
    fn take_due(&mut self, copies: Copies, id: &str) -> String {
        let (position, count) = match copies {
            Copies::Never | Copies::AtOnce => return String::new(),
            Copies::BeforeSameId(count) => {
                (self.0.iter().position(|(refused, _)| refused == id), count)
            }
            Copies::BeforeNext => (self.0.len().checked_sub(1), 1),
        };
        position.map_or_else(String::new, |index| self.0.remove(index).1.repeat(count))
    }
}

impl Seen {
    /// Whether no request with an id was seen before. Counts as seen from now on.
    fn is_first_of(&mut self, id: &str) -> bool {
        let is_first = !self.runs.contains_key(id);
        self.runs.entry(id.to_owned()).or_default();
        is_first
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
