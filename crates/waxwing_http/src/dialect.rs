//! The names by which callers, targets and VMs understand each other.

use std::net::SocketAddr;

use hyper::header::HeaderName;
use smol_str::SmolStr;
use waxwing_types::{DomainId, Millis};

/// Names of headers and the scheme of keys.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, echoed by targets.
    pub request_id: HeaderName,
    /// Milliseconds that the caller still waits.
    pub deadline: HeaderName,
    /// Target that is to run the request.
    pub instance: HeaderName,
    /// Workspace of the request.
    pub workspace: HeaderName,
    /// Requests running, requests waiting and slots of the target.
    pub load: HeaderName,
    /// Says that the request was not run.
    pub not_run: HeaderName,
    /// Id of the target, in its answers to health checks.
    pub target_id: HeaderName,
    /// Milliseconds for which the target stays cold, in its answers to health checks.
    pub cold_left: HeaderName,
    /// Says with the value 1 that the target is leaving.
    pub leaving: HeaderName,
    /// Cookie that names the object of a request.
    pub object: &'static str,
    /// Scheme of keys in `Authorization`.
    pub scheme: &'static str,
}

/// A question for entry VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Failure domain of the caller, if it was named.
    pub domain: Option<DomainId>,
}

/// How the outer interfaces are spelled.
pub trait Dialect: Send + Sync {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Whether a path asks whether the daemon is ready.
    fn is_ready_path(&self, path: &str) -> bool;

    /// Reads a question for entry VMs. `None`: the path asks something else.
    fn directory_query(&self, path: &str, query: Option<&str>) -> Option<DirectoryQuery>;

    /// Writes the value of `Retry-After`.
    fn retry_after(&self, wait: Millis) -> String;

    /// Writes an answer that holds for a time.
    fn directory_answer(&self, addresses: &[SocketAddr], lifetime: Millis) -> String;
}

/// The product's own spelling.
#[derive(Debug)]
pub struct OwnDialect {
    headers: HeaderNames,
}

impl Default for OwnDialect {
    fn default() -> Self {
        Self {
            headers: HeaderNames {
                request_id: HeaderName::from_static("x-request-id"),
                deadline: HeaderName::from_static("request-timeout-ms"),
                instance: HeaderName::from_static("x-target"),
                workspace: HeaderName::from_static("x-workspace"),
                load: HeaderName::from_static("x-load"),
                not_run: HeaderName::from_static("x-not-run"),
                target_id: HeaderName::from_static("x-target-id"),
                cold_left: HeaderName::from_static("x-target-cold-ms"),
                leaving: HeaderName::from_static("x-target-leaving"),
                object: "affinity",
                scheme: "Bearer",
            },
        }
    }
}

impl Dialect for OwnDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn is_ready_path(&self, path: &str) -> bool {
        path == "/readyz"
    }

    fn directory_query(&self, path: &str, query: Option<&str>) -> Option<DirectoryQuery> {
        (path == "/v1/entries").then(|| DirectoryQuery {
            domain: query_value(query, "domain").map(DomainId),
        })
    }

    fn retry_after(&self, wait: Millis) -> String {
        wait.0.div_ceil(1000).to_string()
    }

    fn directory_answer(&self, addresses: &[SocketAddr], lifetime: Millis) -> String {
        let quoted = addresses.iter().map(|address| format!("\"{address}\""));
        let list = quoted.collect::<Vec<_>>().join(",");
        format!("{{\"entries\":[{list}],\"lifetime_ms\":{}}}", lifetime.0)
    }
}

/// The value of a parameter of a query that needs no decoding.
pub fn query_value(query: Option<&str>, name: &str) -> Option<SmolStr> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    Some(SmolStr::new(value))
}
