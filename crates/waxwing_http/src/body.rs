//! Bodies that are passed on in frames and never buffered as a whole.

use std::error::Error;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
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
    Ok(Limited::new(body, max).collect().await?.to_bytes())
}
