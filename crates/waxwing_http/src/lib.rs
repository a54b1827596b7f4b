//! HTTP/1.1 server and client on `hyper` and `smol-hyper`.
