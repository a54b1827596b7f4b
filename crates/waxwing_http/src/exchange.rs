//! One request with its whole answer.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use futures_lite::future;
use http_body_util::BodyExt;
use hyper::{Request, Response};
use waxwing_types::Millis;

use crate::{Body, Client, Endpoint, SendError};

/// Lowest rate at which an answer in parts may arrive, after the time for one part.
const MIN_BYTES_PER_MS: u64 = 8;

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
        let (head, body) = send(client, endpoint, request).await?.into_parts();
        let body = read(body, max, &received, None).await?;
        Ok(Response::from_parts(head, body))
    };
    let expired = async {
        async_io::Timer::after(timeout.duration()).await;
        Err(expire(client, endpoint, timeout, &received))
    };
    future::or(answer, expired).await
}

/// Sends a request and reads its whole answer of at most `max` bytes, for as long as the answer goes on: its head must arrive
/// within `timeout`, and each part of its body within `part_timeout` after the one before. An answer that dribbles, with less
/// than 8 bytes per ms, is given up. If there is no answer in time, the idle connections to the address are closed.
///
/// # Errors
/// See [`ExchangeError`].
pub async fn exchange_in_parts(
    client: &Client,
    endpoint: impl Into<Endpoint>,
    request: Request<Body>,
    (timeout, part_timeout): (Millis, Millis),
    max: usize,
) -> Result<Response<Vec<u8>>, ExchangeError> {
    let endpoint = endpoint.into();
    let received = AtomicUsize::new(0);
    let expired = async {
        async_io::Timer::after(timeout.duration()).await;
        Err(expire(client, endpoint, timeout, &received))
    };
    let response = future::or(send(client, endpoint, request), expired).await?;
    let (head, body) = response.into_parts();
    match read(body, max, &received, Some(part_timeout)).await {
        Ok(body) => Ok(Response::from_parts(head, body)),
        Err(error) => {
            client.close_idle(endpoint.address);
            Err(error)
        }
    }
}

async fn send(
    client: &Client,
    endpoint: Endpoint,
    request: Request<Body>,
) -> Result<Response<Body>, ExchangeError> {
    client
        .send(endpoint, request)
        .await
        .map_err(|error| match error {
            SendError::Connect(_)
            | SendError::Withdrawn
            | SendError::Unanswered
            | SendError::NotSent(_) => ExchangeError::Unsent(error.to_string()),
            SendError::Broken(_) | SendError::Unmatched | SendError::NoFinalStatus(_) => {
                ExchangeError::Sent(error.to_string())
            }
        })
}

/// The error of an answer that is late. The time may be over between sending and answering, so a write counts as sent.
fn expire(
    client: &Client,
    endpoint: Endpoint,
    timeout: Millis,
    received: &AtomicUsize,
) -> ExchangeError {
    client.close_idle(endpoint.address);
    let count = received.load(Ordering::Relaxed);
    ExchangeError::Sent(format!(
        "no answer within {timeout}, {count} bytes of it received"
    ))
}

/// Reads frame by frame: the compiler cannot show that the future of [`crate::collect`] over a
/// [`Body`] is `Send`.
async fn read(
    mut body: Body,
    max: usize,
    received: &AtomicUsize,
    part_timeout: Option<Millis>,
) -> Result<Vec<u8>, ExchangeError> {
    let mut whole = Vec::new();
    let started = Instant::now();
    loop {
        let next = async { Ok(body.frame().await) };
        let silent = async {
            match part_timeout {
                Some(timeout) => async_io::Timer::after(timeout.duration()).await,
                None => future::pending().await,
            };
            Err(ExchangeError::Sent(format!(
                "the answer stopped after {} bytes",
                received.load(Ordering::Relaxed)
            )))
        };
        let Some(frame) = future::or(next, silent).await? else {
            return Ok(whole);
        };
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
        if let Some(timeout) = part_timeout {
            let allowed = timeout + Millis(whole.len() as u64 / MIN_BYTES_PER_MS);
            if started.elapsed() > allowed.duration() {
                let reason = format!("only {} bytes of the answer within {allowed}", whole.len());
                return Err(ExchangeError::Sent(reason));
            }
        }
    }
}
