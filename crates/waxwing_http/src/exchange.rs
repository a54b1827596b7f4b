//! One request with its whole answer.

use std::sync::atomic::{AtomicUsize, Ordering};

use futures_lite::future;
use http_body_util::BodyExt;
use hyper::{Request, Response};
use waxwing_types::Millis;

use crate::{Body, Client, Endpoint, SendError};

/// Why there is no whole answer, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nothing was sent.
    Unsent(String),
    /// The request may have taken effect.
    Sent(String),
    /// The answer is longer than allowed. The request may have taken effect.
    TooLong(String),
}

impl ExchangeError {
    /// The reason.
    pub fn reason(self) -> String {
        match self {
            Self::Unsent(reason) | Self::Sent(reason) | Self::TooLong(reason) => reason,
        }
    }
}

/// Sends a request and reads its whole answer of at most `max` bytes within a time. If there is none in time, the idle
/// connections to the address are closed.
///
/// # Errors
/// See [`ExchangeError`].
pub async fn exchange(
    client: &Client,
    endpoint: impl Into<Endpoint>,
    request: Request<Body>,
    timeout: Millis,
    max: usize,
) -> Result<Response<Vec<u8>>, ExchangeError> {
    let endpoint = endpoint.into();
    let received = AtomicUsize::new(0);
    let answer = async {
        let response = match client.send(endpoint, request).await {
            Ok(response) => response,
            Err(
                error @ (SendError::Connect(_)
                | SendError::Withdrawn
                | SendError::Unanswered
                | SendError::NotSent(_)),
            ) => {
                return Err(ExchangeError::Unsent(error.to_string()));
            }
            Err(error @ (SendError::Broken(_) | SendError::Unmatched)) => {
                return Err(ExchangeError::Sent(error.to_string()));
            }
        };
        let (head, body) = response.into_parts();
        let body = read(body, max, &received).await?;
        Ok(Response::from_parts(head, body))
    };
    // The time may be over between sending and answering, so a write counts as sent.
    let expired = async {
        async_io::Timer::after(timeout.duration()).await;
        client.close_idle(endpoint.address);
        let count = received.load(Ordering::Relaxed);
        let reason = format!("no answer within {timeout}, {count} bytes of it received");
        Err(ExchangeError::Sent(reason))
    };
    future::or(answer, expired).await
}

/// Reads frame by frame: the compiler cannot show that the future of [`crate::collect`] over a
/// [`Body`] is `Send`.
async fn read(
    mut body: Body,
    max: usize,
    received: &AtomicUsize,
) -> Result<Vec<u8>, ExchangeError> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ExchangeError::Sent(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > max {
            let reason = format!("the answer exceeds {max} bytes");
            return Err(ExchangeError::TooLong(reason));
        }
        whole.extend_from_slice(&data);
        received.store(whole.len(), Ordering::Relaxed);
    }
    Ok(whole)
}
