//! Responses that carry JSON.

use std::fmt::Write as _;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use waxwing_types::Ran;

use crate::{Body, full};

/// A rejection as a problem body (RFC 9457).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem<'a> {
    /// HTTP status.
    pub status: StatusCode,
    /// Why, as metrics and logs name it.
    pub reason: &'a str,
    /// Whether the request ran.
    pub ran: Ran,
    /// A sentence for the reader, empty for none.
    pub detail: &'a str,
    /// Time after which a new attempt makes sense.
    pub retry_after: Option<Duration>,
}

impl Problem<'_> {
    /// The response. `Retry-After` is in whole seconds, rounded up.
    pub fn response(&self) -> Response<Body> {
        let mut text = format!(
            r#"{{"type":"about:blank","status":{},"reason":{},"ran":"{}""#,
            self.status.as_u16(),
            quote(self.reason),
            self.ran.as_str(),
        );
        if !self.detail.is_empty() {
            let _ = write!(text, r#","detail":{}"#, quote(self.detail));
        }
        if let Some(wait) = self.retry_after {
            let _ = write!(text, r#","retry_after_ms":{}"#, wait.as_millis());
        }
        text.push('}');
        let mut response = json(self.status, text);
        response.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(wait) = self.retry_after {
            let secs = wait.as_millis().div_ceil(1000);
            if let Ok(value) = HeaderValue::from_str(&secs.to_string()) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// A response with a JSON text.
pub fn json(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn quote(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            c if u32::from(c) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", u32::from(c));
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
