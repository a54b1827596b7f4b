//! The protocol between daemons, on `capnp-rpc`.
