//! The lingering close: a connection whose request body was not read whole is read on before it is closed.
//!
//! If a socket is closed with unread bytes, the kernel resets the connection. A caller that is still sending its body
//! then gets a write error, and may lose a response that was sent early.

use std::time::{Duration, Instant};

use async_net::{Shutdown, TcpStream};
use futures_lite::{AsyncReadExt, future};

use crate::CoarseTimer;

/// Bytes that are read and dropped before the connection is closed.
const MAX_DROPPED_BYTES: usize = 4 << 20;
/// Size of the buffer for the dropped bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Ends the sending side of a connection, then reads and drops bytes until the caller closes, `time` has passed or
/// [`MAX_DROPPED_BYTES`] were read.
pub(crate) async fn linger(mut stream: TcpStream, timer: &CoarseTimer, time: Duration) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let reading = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut dropped = 0;
        while dropped < MAX_DROPPED_BYTES {
            match stream.read(&mut buffer).await {
                Ok(length) if length > 0 => dropped += length,
                Ok(_) | Err(_) => return,
            }
        }
    };
    future::or(reading, timer.sleep_until(Instant::now() + time)).await;
}
