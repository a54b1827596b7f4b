//! Takes or opens the connection for a request, as its [`ConnectionPolicy`] decides.

use futures_lite::future;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};

use crate::carried::Identity;
use crate::client::kept;
use crate::conn::{Conn, Outcome};
use crate::pool::Taken;
use crate::validation::{Admission, ConnectionPolicy, Verdict};
use crate::{Body, Client, Endpoint, SendError, collect};

/// Connections that are opened for one request: one whose peer is asked, and one that carries the request if that one cannot.
const MAX_OPENINGS: usize = 2;
/// Greatest size of the answer to a question.
const MAX_ANSWER_BYTES: usize = 4096;

impl Client {
    /// Takes an idle connection that may carry a request.
    pub(crate) async fn take_idle(
        &self,
        endpoint: Endpoint,
        identity: Identity,
        policy: &impl ConnectionPolicy,
    ) -> Option<Conn> {
        let allows = |conn: &Conn| {
            conn.carried.allows(identity) && (conn.is_validated || policy.allows_unvalidated())
        };
        loop {
            match self.inner.pool.take(endpoint, allows) {
                Taken::Conn(mut conn) => {
                    if conn.is_usable().await {
                        return Some(conn);
                    }
                    policy.on_closed();
                }
                Taken::Nothing { is_any_closed } => {
                    if is_any_closed {
                        policy.on_closed();
                    }
                    return None;
                }
            }
        }
    }

    /// Opens a connection that may carry a request. A peer that has been asked may close its connection, and the response to a
    /// request without an id needs a connection that carried nothing: then a second one is opened.
    pub(crate) async fn open_admitted(
        &self,
        endpoint: Endpoint,
        identity: Identity,
        policy: &impl ConnectionPolicy,
    ) -> Result<Conn, SendError> {
        for _ in 0..MAX_OPENINGS {
            let opened = self.open(endpoint.address).await;
            let mut conn = opened.map_err(SendError::Connect)?;
            let (verdict, is_usable) = match policy.admit() {
                Admission::Decided(verdict) => (verdict, true),
                Admission::Ask(question) => self.ask(&mut conn, question, policy).await?,
            };
            conn.is_validated = verdict == Verdict::Validate;
            if verdict == Verdict::Withdraw {
                return Err(SendError::Withdrawn);
            }
            if is_usable && conn.carried.allows(identity) {
                return Ok(conn);
            }
            if is_usable {
                self.inner.pool.put(endpoint, conn);
            }
        }
        Err(SendError::Unanswered)
    }

    /// Asks the peer on a connection that has carried nothing, and decides by the response. Returns also whether the connection
    /// takes further requests.
    async fn ask(
        &self,
        conn: &mut Conn,
        mut question: Box<Request<Body>>,
        policy: &impl ConnectionPolicy,
    ) -> Result<(Verdict, bool), SendError> {
        if let Ok(host) = HeaderValue::from_str(&conn.address.to_string()) {
            question.headers_mut().entry(HOST).or_insert(host);
        }
        let exchange = async {
            match conn.send(*question, Identity::First).await {
                Outcome::Head(response) => {
                    conn.carried.record_missing_id();
                    let (head, body) = response.into_parts();
                    conn.kept = kept(&head.headers).or(conn.kept);
                    let verdict = policy.judge(&Response::from_parts(head, ()));
                    let is_read = collect(body, MAX_ANSWER_BYTES).await.is_ok();
                    let is_usable = is_read && conn.is_usable().await;
                    Ok((verdict, is_usable))
                }
                Outcome::Unsent(_) | Outcome::UnsentSpent(_) | Outcome::Broken(_) => {
                    Err(SendError::Unanswered)
                }
            }
        };
        let timer = async {
            async_io::Timer::after(self.inner.limits.connect).await;
            Err(SendError::Unanswered)
        };
        future::or(exchange, timer).await
    }
}
