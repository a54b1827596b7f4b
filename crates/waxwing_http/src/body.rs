//! Bodies that are passed on in frames and never buffered as a whole.

use std::error::Error;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Bytes;

/// Why a body ended early.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// A body of a request or a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body without content.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that is held in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Any body, such as one that arrives from a connection.
pub fn streamed<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// Reads a body of at most `max` bytes into memory.
///
/// # Errors
/// The body broke off or is longer.
pub async fn collect<B>(body: B, max: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    // Not `http_body_util::Limited`, whose error type keeps futures from being `Send`.
    let mut body = std::pin::pin!(body);
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Into::into)?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > max {
            return Err(format!("the body exceeds {max} bytes").into());
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}
