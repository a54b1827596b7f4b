//! Client and server over loopback.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{address, get, limits, rig, serve, text};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hyper::header::HeaderName;
use hyper::{Method, Request, Response, StatusCode};
use waxwing_http::{
    Admission, AnyConnection, Client, ClientLimits, ConnectionPolicy, ResponseId, Returned,
    SendError, ServerLimits, Verdict, collect, empty, full, streamed,
};

static ID: HeaderName = HeaderName::from_static("x-request-id");
static RESPONSE_ID: ResponseId<'_> = ResponseId {
    header: &ID,
    returned: Returned::Always,
};

/// Guards against a new connection for each request.
#[test]
fn idle_connection_is_reused() {
    rig(|executor| async move {
        let server = serve(&executor, limits(), |_| async { text("hello") }).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        for _ in 0..20 {
            let response = client.send(server.address(), get("/")).await.unwrap();
            let body = collect(response.into_body(), 100).await.unwrap();
            assert_eq!(&body[..], b"hello");
        }
        assert_eq!(server.connections(), 1);
        assert_eq!(client.idle(), 1);
    });
}

/// Guards against idle connections that pile up beyond their limit.
#[test]
fn idle_connections_are_limited() {
    rig(|executor| async move {
        let server = serve(&executor, limits(), |_| async { text("hello") }).await;
        let few = ClientLimits {
            idle: 2,
            ..ClientLimits::default()
        };
        let client = Client::new(Arc::clone(&executor), few);
        let mut bodies = Vec::new();
        for _ in 0..5 {
            let response = client.send(server.address(), get("/")).await.unwrap();
            bodies.push(response.into_body());
        }
        for body in bodies {
            collect(body, 100).await.unwrap();
        }
        assert_eq!(client.idle(), 2);
    });
}

/// Guards against a refused connection that is taken for a request that ran.
#[test]
fn refused_connection_is_a_connect_error() {
    rig(|executor| async move {
        let closed = address().await;
        let client = Client::new(executor, ClientLimits::default());
        let error = client.send(closed, get("/")).await.unwrap_err();
        assert!(matches!(error, SendError::Connect(_)), "{error}");
        assert!(!error.may_have_run());
    });
}

/// Lets no new connection carry a request.
struct Withdrawn;

impl ConnectionPolicy for Withdrawn {
    fn admit(&self) -> Admission {
        Admission::Decided(Verdict::Withdraw)
    }

    fn judge(&self, _response: &Response<()>) -> Verdict {
        Verdict::Withdraw
    }
}

/// Guards against a request that is sent although it was withdrawn while its connection was opened.
#[test]
fn withdrawn_request_is_not_sent_on_a_new_connection() {
    rig(|executor| async move {
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&requests);
        let server = serve(&executor, limits(), move |_| {
            counted.fetch_add(1, Ordering::Relaxed);
            async { text("hello") }
        })
        .await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let sent = client
            .send_identified(server.address(), get("/"), RESPONSE_ID, &Withdrawn)
            .await;
        let error = sent.unwrap_err();
        assert!(matches!(error, SendError::Withdrawn), "{error}");
        assert!(!error.may_have_run());
        let sent = client
            .send_identified(server.address(), get("/"), RESPONSE_ID, &AnyConnection)
            .await;
        collect(sent.unwrap().into_body(), 100).await.unwrap();
        assert_eq!(requests.load(Ordering::Relaxed), 1);
    });
}

/// Guards against a broken connection that is taken for a request that was never sent.
#[test]
fn connection_that_breaks_after_the_request_is_broken() {
    rig(|executor| async move {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let accept = executor.spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 64];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
        });
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let error = client.send(at, get("/")).await.unwrap_err();
        accept.await;
        assert!(matches!(error, SendError::Broken(_)), "{error}");
    });
}

/// Guards against a failure at the caller because the server closed an idle connection.
#[test]
fn idle_connection_that_was_closed_is_replaced() {
    rig(|executor| async move {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let accept = executor.spawn(async move {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut buffer = [0; 256];
                assert!(stream.read(&mut buffer).await.unwrap() > 0);
                let head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(head).await.unwrap();
            }
        });
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        for _ in 0..2 {
            let response = client.send(at, get("/")).await.unwrap();
            collect(response.into_body(), 10).await.unwrap();
        }
        accept.await;
    });
}

struct CloseOnDrop(async_channel::Sender<()>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Guards against a server that goes on working for a caller that is gone.
#[test]
fn dropped_request_cancels_the_handler() {
    rig(|executor| async move {
        let (begun, on_begin) = async_channel::bounded::<()>(1);
        let (alive, on_end) = async_channel::bounded::<()>(1);
        let server = serve(&executor, limits(), move |_| {
            let (begun, guard) = (begun.clone(), CloseOnDrop(alive.clone()));
            async move {
                let _guard = guard;
                begun.send(()).await.unwrap();
                std::future::pending::<Response<_>>().await
            }
        })
        .await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let at = server.address();
        let call = executor.spawn(async move { client.send(at, get("/")).await.map(drop) });
        on_begin.recv().await.unwrap();
        drop(call);
        on_end.recv().await.unwrap_err();
    });
}

/// Guards against bodies that are held in memory: the echo starts before the upload has ended.
#[test]
fn bodies_are_streamed_both_ways() {
    rig(|executor| async move {
        let server = serve(&executor, limits(), |request: Request<_>| async {
            Response::new(streamed(request.into_body()))
        })
        .await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let (frames, body) = common::channel_body();
        let request = Request::post("/").body(body).unwrap();
        let response = client.send(server.address(), request);
        let write = async {
            frames.send("one".into()).await.unwrap();
            std::future::pending().await
        };
        let response = futures_lite::future::or(response, write).await.unwrap();
        let mut echo = response.into_body();
        assert_eq!(common::frame(&mut echo).await.as_deref(), Some(&b"one"[..]));
        frames.send("two".into()).await.unwrap();
        assert_eq!(common::frame(&mut echo).await.as_deref(), Some(&b"two"[..]));
        frames.close();
        assert_eq!(common::frame(&mut echo).await, None);
    });
}

/// Guards against an oversized header section that reaches the handler or is answered without a reason.
#[test]
fn oversized_header_is_answered_with_a_problem() {
    rig(|executor| async move {
        let small = ServerLimits {
            header_bytes: 1024,
            ..limits()
        };
        let server = serve(&executor, small, |_| async { text("hello") }).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let request = Request::get("/")
            .header("x-long", "y".repeat(2000))
            .body(empty())
            .unwrap();
        let response = client.send(server.address(), request).await.unwrap();
        assert_eq!(
            response.status(),
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
        );
        let body = collect(response.into_body(), 1000).await.unwrap();
        let body = String::from_utf8(body.to_vec()).unwrap();
        assert!(
            body.contains(r#""reason":"too_large","ran":"no""#),
            "{body}"
        );
    });
}

/// Guards against a caller that holds a connection by sending its header a byte at a time.
#[test]
fn slow_header_is_cut_off() {
    rig(|executor| async move {
        let brief = ServerLimits {
            header_time: Duration::from_millis(50),
            ..limits()
        };
        let server = serve(&executor, brief, |_| async { text("hello") }).await;
        let mut stream = async_net::TcpStream::connect(server.address())
            .await
            .unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nHos").await.unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        common::until(|| server.connections() == 0).await;
    });
}

/// Guards against a stop that cuts a request, and against connections left open after it.
#[test]
fn shutdown_finishes_the_running_request() {
    rig(|executor| async move {
        let (go, on_go) = async_channel::bounded::<()>(1);
        let (begun, on_begin) = async_channel::bounded::<()>(1);
        let server = serve(&executor, limits(), move |_| {
            let (on_go, begun) = (on_go.clone(), begun.clone());
            async move {
                begun.send(()).await.unwrap();
                on_go.recv().await.unwrap();
                text("done")
            }
        })
        .await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let at = server.address();
        let sender = client.clone();
        let call = executor.spawn(async move { sender.send(at, get("/")).await.unwrap() });
        on_begin.recv().await.unwrap();
        let stopping = server.clone();
        let stop = executor.spawn(async move { stopping.shutdown().await });
        common::until(|| std::net::TcpStream::connect(at).is_err()).await;
        go.send(()).await.unwrap();
        let response = call.await;
        assert_eq!(response.headers()["connection"], "close");
        assert_eq!(
            &collect(response.into_body(), 10).await.unwrap()[..],
            b"done"
        );
        stop.await;
        assert_eq!(server.connections(), 0);
    });
}

/// Guards against a limit on connections that is not enforced.
#[test]
fn connections_beyond_the_limit_are_closed() {
    rig(|executor| async move {
        let one = ServerLimits {
            connections: 1,
            ..limits()
        };
        let server = serve(&executor, one, |_| async { text("hello") }).await;
        let _held = async_net::TcpStream::connect(server.address())
            .await
            .unwrap();
        common::until(|| server.connections() == 1).await;
        let mut second = async_net::TcpStream::connect(server.address())
            .await
            .unwrap();
        let mut rest = Vec::new();
        assert_eq!(second.read_to_end(&mut rest).await.unwrap_or(0), 0);
    });
}

/// Guards against hop-by-hop headers that are relayed.
#[test]
fn hop_headers_are_removed() {
    let mut request = Request::builder()
        .method(Method::GET)
        .header("connection", "close, x-private")
        .header("x-private", "1")
        .header("keep-alive", "5")
        .header("te", "trailers")
        .header("proxy-authorization", "secret")
        .header("x-kept", "1")
        .body(full(""))
        .unwrap();
    waxwing_http::remove_hop_headers(request.headers_mut());
    waxwing_http::remove_proxy_headers(request.headers_mut());
    let names: Vec<_> = request
        .headers()
        .keys()
        .map(hyper::header::HeaderName::as_str)
        .collect();
    assert_eq!(names, ["x-kept"]);
}
