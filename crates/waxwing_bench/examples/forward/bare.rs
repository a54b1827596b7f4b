//! The baseline: a proxy that forwards each connection of a caller over one connection to the
//! target, on hyper alone, without any decision.

use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;
use async_lock::Mutex;
use async_net::{TcpListener, TcpStream};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;

/// Runs the forwarder on one thread.
pub(crate) fn run(listen: SocketAddr, to: SocketAddr) -> anyhow::Result<()> {
    let executor = Arc::new(Executor::new());
    async_io::block_on(executor.run(async {
        let listener = TcpListener::bind(listen).await?;
        loop {
            let (stream, _) = listener.accept().await?;
            let task = serve(Arc::clone(&executor), stream, to);
            executor.spawn(async move { drop(task.await) }).detach();
        }
    }))
}

async fn serve(
    executor: Arc<Executor<'static>>,
    stream: TcpStream,
    to: SocketAddr,
) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let target = TcpStream::connect(to).await?;
    target.set_nodelay(true)?;
    let (sender, conn) = hyper::client::conn::http1::handshake(FuturesIo::new(target)).await?;
    executor.spawn(async move { drop(conn.await) }).detach();
    let sender: Mutex<SendRequest<Incoming>> = Mutex::new(sender);
    let forward = service_fn(async |request| {
        let mut sender = sender.lock().await;
        sender.ready().await?;
        sender.send_request(request).await
    });
    let io = FuturesIo::new(stream);
    let server = hyper::server::conn::http1::Builder::new();
    server.serve_connection(io, forward).await?;
    Ok(())
}
