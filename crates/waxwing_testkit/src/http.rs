//! Parts that the HTTP fronts of the doubles share.

use hyper::{Response, StatusCode};
use waxwing_http::{Body, full, json, streamed};

/// A response that breaks its connection before any byte of it is sent.
pub(crate) fn broken() -> Response<Body> {
    let lost = futures_lite::stream::once(Err::<hyper::body::Frame<hyper::body::Bytes>, _>(
        std::io::Error::from(std::io::ErrorKind::ConnectionReset),
    ));
    Response::new(streamed(http_body_util::StreamBody::new(lost)))
}

/// A response with a plain text.
pub(crate) fn text(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = Response::new(full(message.to_owned()));
    *response.status_mut() = status;
    response
}

/// The value of a query parameter. Values in the store protocol need no percent-encoding.
pub(crate) fn query(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| value.to_owned())
}

/// A response with a value as JSON.
pub(crate) fn to_json(value: &impl serde::Serialize) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(json_text) => json(StatusCode::OK, json_text),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
