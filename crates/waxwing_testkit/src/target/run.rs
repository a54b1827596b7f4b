//! What a target double ran.

use std::collections::BTreeMap;

use hyper::http::request::Parts;
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It runs.
    Running,
    /// The answer was handed to the connection.
    Answered,
    /// The deadline that came with the request passed.
    Expired,
    /// The caller closed the connection.
    Cancelled,
    /// The target crashed.
    Crashed,
}

/// A request that got a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Number of the run, from 1.
    pub seq: u64,
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// All headers as the target saw them.
    pub headers: BTreeMap<String, String>,
    /// Bytes of the body that arrived.
    pub body_bytes: u64,
    /// How it ended.
    pub end: RunEnd,
}

impl Run {
    pub(super) fn new(seq: u64, head: &Parts) -> Self {
        let header = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        };
        Self {
            seq,
            method: head.method.to_string(),
            path: head.uri.to_string(),
            headers: head.headers.iter().map(header).collect(),
            body_bytes: 0,
            end: RunEnd::Running,
        }
    }
}

/// The answer to `GET /ran`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Runs {
    /// Name of the target.
    pub target: String,
    /// Requests that got a slot since the start of the process.
    pub total: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// The last runs, oldest first.
    pub runs: Vec<Run>,
}
