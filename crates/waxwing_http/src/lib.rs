//! HTTP/1.1 server and client on `hyper` and `smol-hyper`.

mod body;
mod carried;
mod client;
mod coarse;
mod conn;
mod counted;
mod dialect;
mod exchange;
mod hop;
mod linger;
mod opening;
mod pool;
mod problem;
mod response_id;
mod server;
mod socket;
mod validation;

pub use body::{Body, BodyError, collect, empty, full, streamed};
pub use carried::MAX_IDS_BYTES;
pub use client::{Client, ClientLimits, Endpoint, SendError};
pub use coarse::{CoarseSleep, CoarseTimer};
pub use dialect::{Dialect, DirectoryQuery, HeaderNames, OwnDialect, query_value};
pub use exchange::{ExchangeError, exchange, exchange_in_parts};
pub use hop::{remove_hop_headers, remove_proxy_headers};
pub use problem::{Problem, json};
pub use response_id::{ResponseId, Returned};
pub use server::{Handler, Server, ServerLimits, announce_close};
pub use validation::{Admission, AnyConnection, ConnectionInfo, ConnectionPolicy, Verdict};
