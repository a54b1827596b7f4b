//! Calls to a server whose open connections stay silent while new ones work.

mod common;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use common::{get, rig};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use waxwing_http::{Client, ClientLimits, ExchangeError, exchange, exchange_in_parts};
use waxwing_types::Millis;

const TIMEOUT: Millis = Millis(500);
const MAX_BODY_BYTES: usize = 100;

/// A server whose first `silent` connections are read and no longer answered.
struct Silencer {
    address: SocketAddr,
    opened: AtomicUsize,
    silent: AtomicUsize,
}

impl Silencer {
    async fn start(executor: &Arc<Executor<'static>>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            opened: AtomicUsize::new(0),
            silent: AtomicUsize::new(0),
        });
        let (accepting, spawner) = (Arc::clone(&server), Arc::clone(executor));
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = accepting.opened.fetch_add(1, Ordering::Relaxed);
                let server = Arc::clone(&accepting);
                let serve = async move {
                    let _ended = server.serve(stream, number).await;
                };
                spawner.spawn(serve).detach();
            }
        };
        executor.spawn(accept).detach();
        server
    }

    async fn serve(&self, mut stream: TcpStream, number: usize) -> io::Result<()> {
        let mut buffer = [0; 1024];
        while stream.read(&mut buffer).await? > 0 {
            // Requests that are sent together do not share a connection.
            Timer::after(Duration::from_millis(50)).await;
            if number >= self.silent.load(Ordering::Relaxed) {
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(answer).await?;
            }
        }
        Ok(())
    }

    fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::Relaxed);
        self.silent.store(opened, Ordering::Relaxed);
    }
}

/// Guards against calls that wait in turn on each idle connection of a server that no longer answers on them.
#[test]
fn a_call_after_an_unanswered_one_uses_a_new_connection() {
    rig(|executor| async move {
        let server = Silencer::start(&executor).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let call = || exchange(&client, server.address, get("/"), TIMEOUT, MAX_BODY_BYTES);
        let (first, second) = future::zip(call(), call()).await;
        assert!(first.is_ok() && second.is_ok());
        assert_eq!(client.idle(), 2);

        server.silence_open_connections();
        let unanswered = call().await;
        let next = call().await;

        assert!(matches!(unanswered, Err(ExchangeError::Sent(_))));
        assert!(next.is_ok(), "{next:?}");
    });
}

/// Calls a server that sends an answer in parts, with a pause between them, and returns the length of the answer.
fn length_of_answer_in_parts(
    parts: usize,
    part_bytes: usize,
    pause: Duration,
) -> Result<usize, ExchangeError> {
    let (sender, receiver) = std::sync::mpsc::channel();
    rig(|executor| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let answer = async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _request = stream.read(&mut [0; 1024]).await.unwrap();
            let length = parts * part_bytes;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            for _ in 0..parts {
                Timer::after(pause).await;
                if stream.write_all(&vec![b'x'; part_bytes]).await.is_err() {
                    return;
                }
            }
            Timer::after(Duration::from_mins(1)).await;
        };
        executor.spawn(answer).detach();
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let timeouts = (TIMEOUT, TIMEOUT);
        let answer =
            exchange_in_parts(&client, address, get("/"), timeouts, 10 * MAX_PART_BYTES).await;
        sender
            .send(answer.map(|answer| answer.body().len()))
            .unwrap();
    });
    receiver.recv().unwrap()
}

const MAX_PART_BYTES: usize = 100_000;

/// Guards against a long answer that is given up and asked for anew, although it goes on.
#[test]
fn an_answer_that_goes_on_is_not_given_up() {
    let pause = TIMEOUT.duration() / 4;

    let length = length_of_answer_in_parts(8, MAX_PART_BYTES, pause);

    assert_eq!(length, Ok(8 * MAX_PART_BYTES));
}

/// Guards against a call that waits for the rest of an answer for good.
#[test]
fn an_answer_that_stops_is_given_up() {
    let pause = TIMEOUT.duration() * 20;

    let length = length_of_answer_in_parts(2, MAX_PART_BYTES, pause);

    assert!(matches!(length, Err(ExchangeError::Sent(_))), "{length:?}");
}

/// Guards against a call that some bytes now and then keep alive.
#[test]
fn an_answer_that_dribbles_is_given_up() {
    let pause = TIMEOUT.duration() / 4;

    let length = length_of_answer_in_parts(200, 1, pause);

    assert!(matches!(length, Err(ExchangeError::Sent(_))), "{length:?}");
}
