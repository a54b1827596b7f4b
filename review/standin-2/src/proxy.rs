//! A proxy of TCP connections, which can cut them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A proxy before one address. Clones are the same proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let proxy = Self {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.is_cut.load(Ordering::SeqCst) {
                    accepting.pass_on(stream, to);
                }
            }
        });
        Ok(proxy)
    }

    fn pass_on(&self, near: TcpStream, to: SocketAddr) {
        let Ok(far) = TcpStream::connect(to) else {
            return;
        };
        let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
            if let Ok(stream) = stream.try_clone() {
                self.open.lock().unwrap().push(stream);
            }
        }
        thread::spawn(move || copy(near, far));
        thread::spawn(move || copy(far_2, near_2));
    }

    /// Ends all connections, and closes new ones at once until [`Self::heal`].
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
