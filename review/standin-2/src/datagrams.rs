//! Proxies of the datagrams between machines. To each machine, every other one has an address of its own, at which a proxy
//! receives what is sent to it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// No machine is cut off.
const NOBODY: usize = usize::MAX;

/// The datagrams between a number of machines.
#[derive(Clone)]
pub struct Datagrams {
    /// The address at which one machine knows another one, by their numbers.
    known: Arc<BTreeMap<(usize, usize), SocketAddr>>,
    real: Arc<Vec<SocketAddr>>,
    mute: Arc<AtomicUsize>,
}

impl Datagrams {
    /// `real`: the addresses at which the machines receive datagrams.
    pub fn start(real: Vec<SocketAddr>) -> std::io::Result<Self> {
        let mut sockets = BTreeMap::new();
        for near in 0..real.len() {
            for far in 0..real.len() {
                sockets.insert((near, far), Arc::new(UdpSocket::bind(("127.0.0.1", 0))?));
            }
        }
        let mut known = BTreeMap::new();
        for (pair, socket) in &sockets {
            known.insert(*pair, socket.local_addr()?);
        }
        let datagrams = Self {
            known: Arc::new(known),
            real: Arc::new(real),
            mute: Arc::new(AtomicUsize::new(NOBODY)),
        };
        for ((near, far), socket) in &sockets {
            if near == far {
                continue;
            }
            let (near, far) = (*near, *far);
            let (from_near, to_far) = (Arc::clone(socket), Arc::clone(&sockets[&(far, near)]));
            let (to, mute) = (datagrams.real[far], Arc::clone(&datagrams.mute));
            thread::spawn(move || {
                let mut buffer = vec![0; 65_536];
                loop {
                    let Ok((length, _)) = from_near.recv_from(&mut buffer) else {
                        continue;
                    };
                    if mute.load(Ordering::SeqCst) != near {
                        let _ = to_far.send_to(&buffer[..length], to);
                    }
                }
            });
        }
        Ok(datagrams)
    }

    /// Loses all that a machine sends to others. It goes on to receive.
    pub fn mute(&self, machine: usize) {
        self.mute.store(machine, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.mute.store(NOBODY, Ordering::SeqCst);
    }

    /// An answer of the store as one machine gets it: with the addresses at which it knows the others.
    pub fn rewrite(&self, viewer: usize, answer: String) -> String {
        let mut answer = answer;
        for (machine, real) in self.real.iter().enumerate() {
            if machine != viewer {
                answer = answer.replace(
                    &format!("\"{real}\""),
                    &format!("\"{}\"", self.known[&(viewer, machine)]),
                );
            }
        }
        answer
    }
}
