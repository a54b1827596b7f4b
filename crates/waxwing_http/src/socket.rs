//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use async_net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Time without traffic after which a connection is probed. A link may go silent without a reset, and
/// bounds on configuration are a few seconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Pause between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as broken.
const PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Sends small segments at once and notices a peer that went silent.
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
