//! The protocol between daemons, on `capnp-rpc`.
//!
//! One thread holds all connections. [`PeerNode`] starts it, listens for calls of other daemons and
//! implements [`Peers`] for calls to them.

mod client;
mod command;
mod error;
mod node;
mod peers;
mod read;
mod server;
mod stream;
mod task;
mod write;

// Generated from `schema/peer.capnp`.
#[allow(warnings, unsafe_code, clippy::all, clippy::pedantic)]
#[path = "generated/peer_capnp.rs"]
#[rustfmt::skip]
mod peer_capnp;

pub use error::PeerError;
pub use node::{PeerNode, PeerSettings};
pub use peers::{PeerHandler, Peers, Pending};
pub use stream::WireCounts;
