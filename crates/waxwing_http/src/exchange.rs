//! One request with its whole answer.

use std::net::SocketAddr;

use futures_lite::future;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use waxwing_types::Millis;

use crate::{Body, Client};

/// Sends a request and reads its whole answer within a time.
///
/// # Errors
/// The reason for which there is no whole answer.
pub async fn exchange(
    client: &Client,
    address: SocketAddr,
    request: Request<Body>,
    timeout: Millis,
    max: usize,
) -> Result<(StatusCode, Vec<u8>), String> {
    let answer = async {
        let response = client.send(address, request).await;
        let response = response.map_err(|e| e.to_string())?;
        let status = response.status();
        let body = read(response.into_body(), max).await?;
        Ok((status, body))
    };
    let expired = async {
        async_io::Timer::after(timeout.duration()).await;
        Err(format!("no answer within {timeout}"))
    };
    future::or(answer, expired).await
}

/// Reads frame by frame: the compiler cannot show that the future of [`crate::collect`] over a
/// [`Body`] is `Send`.
async fn read(mut body: Body, max: usize) -> Result<Vec<u8>, String> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > max {
            return Err(format!("the answer exceeds {max} bytes"));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole)
}
