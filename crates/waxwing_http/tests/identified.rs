//! Which connections requests with ids share.

mod common;

use std::sync::Arc;

use common::{get, limits, rig, serve, text};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use waxwing_http::{
    AnyConnection, Body, Client, ClientLimits, Endpoint, ResponseId, Returned, SendError, Server,
    collect,
};

static ID: HeaderName = HeaderName::from_static("x-request-id");

/// Starts a server that returns the ids of its requests.
async fn start_echo(executor: &Arc<async_executor::Executor<'static>>) -> Server {
    serve(executor, limits(), |request| {
        let id = request.headers().get(&ID).cloned();
        async move { with_id(text("hello"), id) }
    })
    .await
}

fn with_id(mut response: Response<Body>, id: Option<HeaderValue>) -> Response<Body> {
    if let Some(id) = id {
        response.headers_mut().insert(&ID, id);
    }
    response
}

fn request(id: Option<&str>) -> Request<Body> {
    let mut request = get("/");
    if let Some(id) = id {
        let id = id.parse().expect("a header value");
        request.headers_mut().insert(&ID, id);
    }
    request
}

/// Sends a request and reads its response.
async fn send(
    client: &Client,
    endpoint: impl Into<Endpoint>,
    id: Option<&str>,
    returned: Returned,
) -> Result<(), SendError> {
    let response_id = ResponseId {
        header: &ID,
        returned,
    };
    let sent = client.send_identified(endpoint, request(id), response_id, &AnyConnection);
    let body = collect(sent.await?.into_body(), 100).await;
    assert_eq!(&body.expect("a body")[..], b"hello");
    Ok(())
}

/// Guards against a connection that carries an id twice, on which a copy of the first response has the id of the second.
#[test]
fn a_connection_carries_an_id_once() {
    rig(|executor| async move {
        let server = start_echo(&executor).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        for (id, connections) in [("a", 1), ("b", 1), ("a", 2), ("c", 2), ("a", 3)] {
            let sent = send(&client, server.address(), Some(id), Returned::Always).await;
            sent.expect("a response");
            assert_eq!(client.opened(), connections, "{id}");
        }
    });
}

/// Guards against a request without an id on a connection on which a copy of an earlier response may follow.
#[test]
fn a_request_without_an_id_goes_on_a_connection_of_its_own() {
    rig(|executor| async move {
        let server = start_echo(&executor).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        for (id, connections) in [(Some("a"), 1), (None, 2), (None, 3), (Some("b"), 3)] {
            let sent = send(&client, server.address(), id, Returned::Always).await;
            sent.expect("a response");
            assert_eq!(client.opened(), connections, "{id:?}");
        }
    });
}

/// Guards against ids that are remembered without end.
#[test]
fn a_connection_is_replaced_when_it_has_carried_its_most_ids() {
    rig(|executor| async move {
        let server = start_echo(&executor).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        for number in 0..300 {
            let id = number.to_string();
            let sent = send(&client, server.address(), Some(&id), Returned::Always).await;
            sent.expect("a response");
        }
        assert_eq!(client.opened(), 3);
        assert!(client.idle() <= 1);
    });
}

/// Guards against a connection to a process that is used for another one at the same address.
#[test]
fn groups_at_one_address_share_no_connections() {
    rig(|executor| async move {
        let server = start_echo(&executor).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let address = server.address();
        for (group, id, connections) in [(1, "a", 1), (2, "b", 2), (1, "c", 2), (2, "d", 2)] {
            let endpoint = Endpoint { address, group };
            let sent = send(&client, endpoint, Some(id), Returned::Always).await;
            sent.expect("a response");
            assert_eq!(client.opened(), connections, "{id}");
        }
        client.close_idle(address);
        assert_eq!(client.idle(), 0);
    });
}

/// Guards against a response without an id that is used although it may be a copy of an earlier one.
#[test]
fn a_response_without_an_id_is_used_only_if_nothing_can_have_been_copied() {
    rig(|executor| async move {
        let server = serve(&executor, limits(), |_| async { text("hello") }).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        let cases = [("a", Returned::MayLack, 1), ("b", Returned::MayLack, 2)];
        for (id, returned, connections) in cases {
            let sent = send(&client, server.address(), Some(id), returned).await;
            sent.expect("a response");
            assert_eq!(client.opened(), connections, "{id}");
        }
        let sent = send(&client, server.address(), Some("e"), Returned::Always).await;
        assert!(matches!(sent, Err(SendError::Unmatched)));
    });
}

/// Guards against a new connection for each request to a server that returns ids, only because it need not.
#[test]
fn requests_to_a_server_that_returns_ids_share_connections() {
    rig(|executor| async move {
        let server = start_echo(&executor).await;
        let client = Client::new(Arc::clone(&executor), ClientLimits::default());
        for id in ["a", "b", "c"] {
            let sent = send(&client, server.address(), Some(id), Returned::MayLack).await;
            sent.expect("a response");
        }
        assert_eq!(client.opened(), 1);
    });
}

/// Guards against idle connections that pile up over many endpoints.
#[test]
fn idle_connections_of_all_endpoints_are_limited() {
    rig(|executor| async move {
        let server = start_echo(&executor).await;
        let few = ClientLimits {
            idle_in_all: 2,
            ..ClientLimits::default()
        };
        let client = Client::new(Arc::clone(&executor), few);
        let address = server.address();
        for (group, connections) in [(1, 1), (2, 2), (1, 2), (3, 3), (1, 3), (2, 4)] {
            let id = format!("{group} {connections}");
            let endpoint = Endpoint { address, group };
            let sent = send(&client, endpoint, Some(&id), Returned::Always).await;
            sent.expect("a response");
            assert_eq!(client.opened(), connections, "{group}");
        }
        assert_eq!(client.idle(), 2);
    });
}

/// Guards against idle connections that pile up because none of them takes the next request.
#[test]
fn requests_one_after_the_other_with_one_id_leave_one_idle_connection() {
    for id in [Some("a"), None] {
        rig(|executor| async move {
            let server = start_echo(&executor).await;
            let client = Client::new(Arc::clone(&executor), ClientLimits::default());
            for _ in 0..100 {
                let sent = send(&client, server.address(), id, Returned::Always).await;
                sent.expect("a response");
            }
            assert_eq!((client.opened(), client.idle()), (100, 1), "{id:?}");
        });
    }
}
