//! Proxies of the datagrams between daemons, which can drop those of a daemon that is cut off.
//!
//! Each daemon knows the others by addresses of its own: the store states them in the entries of daemons.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

pub struct Links {
    cut: Vec<AtomicBool>,
}

impl Links {
    /// Starts the proxies between daemons with these addresses. `known` is told each address by which one daemon knows another.
    pub fn start(peers: &[String], mut known: impl FnMut(usize, usize, &str)) -> Arc<Self> {
        let links = Arc::new(Self {
            cut: peers.iter().map(|_| AtomicBool::new(false)).collect(),
        });
        let count = peers.len();
        // The socket at [a][b] has the address by which daemon a knows daemon b.
        let mut sockets: Vec<Vec<Arc<UdpSocket>>> = Vec::new();
        for a in 0..count {
            let mut row = Vec::new();
            for b in 0..count {
                let socket = UdpSocket::bind((crate::daemon::host().as_str(), 0)).expect("a free port");
                if a != b {
                    known(a, b, &socket.local_addr().expect("an address").to_string());
                }
                row.push(Arc::new(socket));
            }
            sockets.push(row);
        }
        for a in 0..count {
            for b in (0..count).filter(|b| *b != a) {
                let (input, output) = (Arc::clone(&sockets[a][b]), Arc::clone(&sockets[b][a]));
                let (links, to) = (Arc::clone(&links), peers[b].clone());
                std::thread::spawn(move || {
                    let mut buffer = vec![0; 65_536];
                    loop {
                        let Ok((length, _)) = input.recv_from(&mut buffer) else { continue };
                        if !links.is_cut(a) && !links.is_cut(b) {
                            let _ = output.send_to(&buffer[..length], &to);
                        }
                    }
                });
            }
        }
        links
    }

    pub fn set_cut(&self, daemon: usize, cut: bool) {
        self.cut[daemon].store(cut, Ordering::Relaxed);
    }

    fn is_cut(&self, daemon: usize) -> bool {
        self.cut[daemon].load(Ordering::Relaxed)
    }
}
