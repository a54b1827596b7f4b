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
use waxwing_http::{Client, ClientLimits, ExchangeError, exchange};
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
